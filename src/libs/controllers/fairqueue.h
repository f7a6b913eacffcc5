/// A queue that shares its output between client accounts by weight, regardless of the length of their backlogs.
#pragma once

#include "model/ids.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace WisteriaHill::Controllers {

/// Start-time fair queueing: the account with the smallest virtual start time is next; each item costs 1 / weight.
/// First in, first out within an account. Thread safety: none.
template <typename Item> class FairQueue {
public:
    /// Adds an item. Precondition: weight > 0.
    void push(const Model::ClientAccountId& account, double weight, Item item)
    {
        Backlog& backlog = this->backlogOf(account, weight);
        backlog.items.push_back(std::move(item));
        ++this->total;
    }

    /// Returns an item to the head of its account's backlog and refunds its cost.
    void putBack(const Model::ClientAccountId& account, double weight, Item item)
    {
        Backlog& backlog = this->backlogOf(account, weight);
        backlog.virtualStart = std::max(0.0, backlog.virtualStart - 1 / backlog.weight);
        backlog.items.push_front(std::move(item));
        ++this->total;
    }

    /// Removes and returns the next item. Empty when all backlogs are.
    std::optional<Item> pop()
    {
        const auto next = this->nextBacklog();
        if (next == this->backlogs.end())
            return std::nullopt;
        Backlog& backlog = next->second;
        Item item = std::move(backlog.items.front());
        backlog.items.pop_front();
        --this->total;
        this->virtualTime = backlog.virtualStart;
        backlog.virtualStart += 1 / backlog.weight;
        return item;
    }

    /// Removes and returns the items for which `unwanted` is true.
    template <typename Predicate> std::vector<Item> removeIf(Predicate unwanted)
    {
        std::vector<Item> removed;
        for (auto& [account, backlog] : this->backlogs) {
            std::deque<Item> kept;
            for (Item& item : backlog.items)
                (unwanted(item) ? removed.emplace_back(std::move(item)) : kept.emplace_back(std::move(item)));
            backlog.items = std::move(kept);
        }
        this->total -= removed.size();
        return removed;
    }

    std::size_t size() const { return this->total; }
    bool empty() const { return this->total == 0; }

    std::size_t sizeOf(const Model::ClientAccountId& account) const
    {
        const auto found = this->backlogs.find(account);
        return found == this->backlogs.end() ? 0 : found->second.items.size();
    }

    /// The share of the output, from 0 to 1, that an account of this weight gets as long as the current backlogs last.
    double shareOf(const Model::ClientAccountId& account, double weight) const
    {
        double sum = weight;
        for (const auto& [other, backlog] : this->backlogs) {
            if (other != account && !backlog.items.empty())
                sum += backlog.weight;
        }
        return weight / sum;
    }

private:
    struct Backlog {
        double weight = 1;
        double virtualStart = 0;
        std::deque<Item> items;
    };
    using Backlogs = std::map<Model::ClientAccountId, Backlog>;

    Backlog& backlogOf(const Model::ClientAccountId& account, double weight)
    {
        Backlog& backlog = this->backlogs[account];
        backlog.weight = weight;
        if (backlog.items.empty())
            backlog.virtualStart = std::max(backlog.virtualStart, this->virtualTime);
        return backlog;
    }

    typename Backlogs::iterator nextBacklog()
    {
        auto best = this->backlogs.end();
        for (auto candidate = this->backlogs.begin(); candidate != this->backlogs.end(); ++candidate) {
            if (candidate->second.items.empty())
                continue;
            if (best == this->backlogs.end() || candidate->second.virtualStart < best->second.virtualStart)
                best = candidate;
        }
        return best;
    }

    Backlogs backlogs;
    double virtualTime = 0;
    std::size_t total = 0;
};

} // namespace WisteriaHill::Controllers
