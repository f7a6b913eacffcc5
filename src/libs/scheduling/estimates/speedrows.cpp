#include "scheduling/estimates/speedrows.h"

#include "scheduling/estimates/tasktimesjson.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace WisteriaHill::Scheduling::Estimates {

namespace {

using Utils::Json;

constexpr std::string_view keyPrefix = "speeds:";
constexpr int version = 1;
/// The store limits a row to 64 KiB.
constexpr std::size_t rowBytes = 60'000;
/// Sum of the changes of a block's machines, in logarithms, from which its row is written again.
constexpr double dueChange = 0.5;
/// Part of a change of a machine that counts for its service's row.
constexpr double serviceShare = 0.02;
/// A stored figure counts less than one of this leader: the machine may have changed since.
constexpr double keptWeight = 0.7;
constexpr double largestMean = 4;
constexpr double largestRuns = 1000;
constexpr double milli = 1000;
constexpr double centi = 100;

/// FNV-1a, the same on all hosts, with its bits mixed once more: names that differ in their last letter alone shall not
/// fall into one block.
std::uint64_t hashOf(const std::string& text)
{
    std::uint64_t hash = 14'695'981'039'346'656'037U;
    for (const char letter : text)
        hash = (hash ^ static_cast<unsigned char>(letter)) * 1'099'511'628'211U;
    hash = (hash ^ (hash >> 33)) * 18'397'679'294'719'823'053U;
    return hash ^ (hash >> 33);
}

Json machinesToJson(const ServiceSpeeds& service, int block)
{
    Json machines = Json::object();
    std::size_t bytes = 0;
    for (const auto& [name, speed] : service.machines) {
        if (speedBlockOf(name) != block || speed.runs() <= 0)
            continue;
        bytes += name.size() + 24;
        if (bytes > rowBytes)
            break;
        machines[name] = { std::llround(speed.storedMean() * milli), std::llround(speed.runs() * centi) };
    }
    return machines;
}

Json tasksToJson(const ServiceSpeeds& service)
{
    Json tasks = Json::object();
    std::size_t bytes = 0;
    for (const auto& [queue, times] : service.tasks.all()) {
        Json json = queueTimesToJson(times);
        bytes += queue.size() + json.dump(-1, ' ', false, Json::error_handler_t::replace).size();
        if (bytes > rowBytes)
            break;
        tasks[queue] = std::move(json);
    }
    return tasks;
}

/// Throws Json::exception, or returns false, when the row is damaged.
bool restoreMachines(const Json& json, const std::string& service, ServerSpeeds& speeds, SteadyTime now)
{
    std::map<std::string, std::pair<double, double>> machines;
    for (const auto& [name, figures] : json.items()) {
        const double mean = figures.at(0).get<double>() / milli;
        const double runs = figures.at(1).get<double>() / centi;
        if (std::abs(mean) > largestMean || runs < 0 || runs > largestRuns)
            return false;
        machines[name] = { mean, runs * keptWeight };
    }
    for (const auto& [name, figures] : machines)
        speeds.restoreMachine(service, name, figures.first, figures.second, now);
    return true;
}

bool restoreWhole(const Json& json, const std::string& service, ServerSpeeds& speeds)
{
    const Json& sums = json.at("sums");
    const Unevenness::Sums read { .runs = sums.at(0).get<double>(),
        .squares = sums.at(1).get<double>(),
        .pairs = sums.at(2).get<double>(),
        .products = sums.at(3).get<double>(),
        .productSquares = sums.at(4).get<double>() };
    for (const double part : { read.runs, read.squares, read.pairs, read.productSquares }) {
        if (part < 0 || part > milli * milli)
            return false;
    }
    if (std::abs(read.products) > milli * milli)
        return false;
    const bool isProved = json.at("proved").get<bool>();
    std::map<std::string, QueueTimes> tasks;
    for (const auto& [queue, times] : json.at("tasks").items()) {
        const std::optional<QueueTimes> decoded = queueTimesFromJson(times);
        if (!decoded)
            return false;
        tasks[queue] = *decoded;
    }
    speeds.restoreService(service, read, isProved);
    for (const auto& [queue, times] : tasks)
        speeds.restoreTasks(service, queue, times);
    return true;
}

} // namespace

int speedBlockOf(const std::string& machine)
{
    return static_cast<int>(hashOf(machine) % static_cast<std::uint64_t>(SpeedRowName::blocks));
}

std::string speedRowKey(const SpeedRowName& name)
{
    return std::string(keyPrefix) + std::to_string(hashOf(name.service)) + ':' + std::to_string(name.block);
}

bool isSpeedRowKey(const std::string& key) { return key.starts_with(keyPrefix); }

std::string encodeSpeedRow(const ServerSpeeds& speeds, const SpeedRowName& name)
{
    const ServiceSpeeds& service = speeds.all().at(name.service);
    Json json { { "kind", "speeds" }, { "version", version }, { "service", name.service } };
    if (name.block != SpeedRowName::wholeService) {
        json["machines"] = machinesToJson(service, name.block);
    } else {
        const Unevenness::Sums& sums = service.unevenness.sums();
        json["sums"] = { sums.runs, sums.squares, sums.pairs, sums.products, sums.productSquares };
        json["proved"] = service.unevenness.isProved();
        json["tasks"] = tasksToJson(service);
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool restoreSpeedRow(const std::string& text, ServerSpeeds& speeds, SteadyTime now)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return false;
    try {
        if (json.at("kind") != "speeds" || json.at("version") != version)
            return false;
        const auto service = json.at("service").get<std::string>();
        if (json.contains("machines"))
            return restoreMachines(json.at("machines"), service, speeds, now);
        return restoreWhole(json, service, speeds);
    } catch (const Json::exception&) {
        return false;
    }
}

void SpeedRows::note(const SpeedRowName& name, double change)
{
    double& sum = this->changes[name];
    const bool wasDue = sum >= dueChange;
    sum += change;
    this->due += !wasDue && sum >= dueChange ? 1 : 0;
}

void SpeedRows::noteMachine(const std::string& service, const std::string& machine, double change)
{
    if (change <= 0)
        return;
    this->note({ .service = service, .block = speedBlockOf(machine) }, change);
    this->note({ .service = service }, change * serviceShare);
}

void SpeedRows::noteService(const std::string& service) { this->note({ .service = service }, dueChange); }

std::vector<SpeedRowName> SpeedRows::take(std::size_t limit)
{
    std::vector<std::pair<double, SpeedRowName>> found;
    for (const auto& [name, change] : this->changes) {
        if (change >= dueChange)
            found.emplace_back(change, name);
    }
    std::ranges::sort(found, std::greater());
    std::vector<SpeedRowName> names;
    for (auto& [change, name] : found) {
        if (names.size() >= limit)
            break;
        this->changes[name] = 0;
        names.push_back(std::move(name));
    }
    this->due = found.size() - names.size();
    return names;
}

void SpeedRows::putBack(const SpeedRowName& name) { this->note(name, dueChange); }

} // namespace WisteriaHill::Scheduling::Estimates
