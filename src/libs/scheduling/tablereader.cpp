#include "scheduling/tablereader.h"

namespace WisteriaHill::Scheduling {

namespace {

constexpr Duration storeTimeout { 1500 };
constexpr Duration retryPause { 100 };

} // namespace

void TableReader::begin()
{
    ++this->generation;
    this->failedReads.clear();
}

void TableReader::read(const std::string& table, const std::string& partition)
{
    this->readPage({ .table = table, .partition = partition });
}

void TableReader::readPage(TableRead read)
{
    const RowRange range { .table = read.table, .partition = read.partition, .from = read.from };
    this->effects.push(ReadCall { .range = range,
        .timeout = storeTimeout,
        .done = [this, read = std::move(read), expected = this->generation](const ReadResult& result) mutable {
            if (expected == this->generation)
                this->handlePage(std::move(read), result);
        } });
}

void TableReader::handlePage(TableRead read, const ReadResult& result)
{
    const auto* page = std::get_if<RowPage>(&result);
    if (!page) {
        this->failedReads.push_back(std::move(read));
        this->nextRetry = this->clock() + retryPause;
        return;
    }
    if (read.position == 0)
        read.position = page->version;
    read.collected.insert(read.collected.end(), page->rows.begin(), page->rows.end());
    if (page->more && !page->rows.empty()) {
        read.from = keyAfter(page->rows.back().key.key);
        this->readPage(std::move(read));
        return;
    }
    this->tableHandler(
        { .table = read.table, .rows = std::move(read.collected), .position = read.position }, this->clock());
}

void TableReader::tick(SteadyTime now)
{
    if (now < this->nextRetry)
        return;
    for (TableRead& read : std::exchange(this->failedReads, {}))
        this->readPage(std::move(read));
}

} // namespace WisteriaHill::Scheduling
