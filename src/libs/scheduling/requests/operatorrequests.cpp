#include "scheduling/requests/operatorrequests.h"

#include <utility>

namespace WisteriaHill::Scheduling::Requests {

void OperatorRequests::begin()
{
    ++this->generation;
    this->readOpen = false;
    this->nextRead = {};
}

void OperatorRequests::tick(SteadyTime now)
{
    if (this->options.range.table.empty() || this->readOpen || now < this->nextRead)
        return;
    this->readOpen = true;
    this->readAt = now;
    this->nextRead = now + this->options.interval;
    this->collected.clear();
    this->readFrom(this->options.range.from);
}

void OperatorRequests::readFrom(const std::string& key)
{
    RowRange range = this->options.range;
    range.from = key;
    this->effects.push(ReadCall { .range = std::move(range),
        .timeout = this->options.timeout,
        .inTurn = false,
        .done = [this, expected = this->generation](const ReadResult& result) {
            if (expected == this->generation)
                this->handlePage(result);
        } });
}

void OperatorRequests::handlePage(const ReadResult& result)
{
    const auto* page = std::get_if<RowPage>(&result);
    if (!page) {
        this->readOpen = false;
        this->nextRead = this->readAt + this->options.retryPause;
        return;
    }
    this->collected.insert(this->collected.end(), page->rows.begin(), page->rows.end());
    if (page->more && !page->rows.empty()) {
        this->readFrom(keyAfter(page->rows.back().key.key));
        return;
    }
    this->readOpen = false;
    this->handler(std::exchange(this->collected, {}), this->readAt, this->clock());
}

} // namespace WisteriaHill::Scheduling::Requests
