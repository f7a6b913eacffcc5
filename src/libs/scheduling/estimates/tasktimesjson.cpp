#include "scheduling/estimates/tasktimesjson.h"

namespace WisteriaHill::Scheduling::Estimates {

using Utils::Json;

Json queueTimesToJson(const QueueTimes& times)
{
    Json accounts = Json::object();
    for (const auto& [account, deviation] : times.accounts)
        accounts[account] = { deviation.weight, deviation.sum };
    Json sizes = Json::array();
    for (const auto& [size, deviation] : times.sizes)
        sizes.push_back({ size, deviation.weight, deviation.sum });
    return { { "sums", { times.sums.weight, times.sums.x, times.sums.y, times.sums.xx, times.sums.xy } },
        { "accounts", std::move(accounts) }, { "sizes", std::move(sizes) }, { "tail", times.tail.counts } };
}

std::optional<QueueTimes> queueTimesFromJson(const Json& json)
{
    try {
        const Json& sums = json.at("sums");
        QueueTimes times { .sums = { .weight = sums.at(0).get<double>(),
                               .x = sums.at(1).get<double>(),
                               .y = sums.at(2).get<double>(),
                               .xx = sums.at(3).get<double>(),
                               .xy = sums.at(4).get<double>() } };
        for (const auto& [account, deviation] : json.at("accounts").items())
            times.accounts[account] = { .weight = deviation.at(0).get<double>(), .sum = deviation.at(1).get<double>() };
        for (const Json& size : json.at("sizes"))
            times.sizes[size.at(0).get<std::int64_t>()]
                = { .weight = size.at(1).get<double>(), .sum = size.at(2).get<double>() };
        const Json& tail = json.at("tail");
        for (std::size_t cell = 0; cell < times.tail.counts.size(); ++cell)
            times.tail.counts.at(cell) = tail.at(cell).get<double>();
        return times.sums.weight >= 0 ? std::optional(times) : std::nullopt;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

} // namespace WisteriaHill::Scheduling::Estimates
