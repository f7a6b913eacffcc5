/// Links between the daemons, the backend servers and the store of a SchedulerBench, and cuts of them.
#pragma once

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace WisteriaHill::TestSupport {

/// Thread safety: none.
class BenchLinks {
public:
    using Hosts = std::set<std::string>;

    static constexpr const char* store = "store";
    static std::string daemon(std::size_t index) { return "daemon-" + std::to_string(index); }

    /// Discards everything that one of `from` sends to one of `to`, until the cut with the returned number is restored.
    int cut(Hosts from, Hosts to)
    {
        this->cuts.push_back({ ++this->lastNumber, std::move(from), std::move(to) });
        return this->lastNumber;
    }

    void restore(int number)
    {
        std::erase_if(this->cuts, [&](const Cut& entry) { return entry.number == number; });
    }

    void clear() { this->cuts.clear(); }

    bool isWhole() const { return this->cuts.empty(); }

    bool isCut(const std::string& from, const std::string& to) const
    {
        return std::ranges::any_of(
            this->cuts, [&](const Cut& entry) { return entry.from.contains(from) && entry.to.contains(to); });
    }

    /// True when a link of the host is cut in any direction.
    bool isDisturbed(const std::string& host) const
    {
        return std::ranges::any_of(
            this->cuts, [&](const Cut& entry) { return entry.from.contains(host) || entry.to.contains(host); });
    }

private:
    struct Cut {
        int number = 0;
        Hosts from;
        Hosts to;
    };

    std::vector<Cut> cuts;
    int lastNumber = 0;
};

} // namespace WisteriaHill::TestSupport
