#include "scheduling/rowcodec.h"

#include "scheduling/estimates/tasktimesjson.h"
#include "utils/checkedjson.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace WisteriaHill::Scheduling {

namespace {

using Utils::Json;

constexpr std::string_view cancelSuffix = "/cancel";
constexpr std::array states { JobState::Queued, JobState::Running, JobState::Completed, JobState::Failed,
    JobState::Cancelled };

/// Returns `read` of the parsed object; std::nullopt when the text is no JSON object, or a member is missing or has
/// another type.
template <typename Value> std::optional<Value> decodeObject(const std::string& text, Value (*read)(const Json&))
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    try {
        return read(json);
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

Json stepToJson(const StepSpecification& step)
{
    Json json { { "count", step.taskCount }, { "milliCores", step.perTask.milliCores },
        { "memoryMb", step.perTask.memoryMb }, { "accelerators", step.perTask.accelerators },
        { "estimateMs", step.estimate.count() } };
    if (!step.prerequisites.empty())
        json["prerequisites"] = step.prerequisites;
    if (step.savesProgress)
        json["savesProgress"] = true;
    if (step.gang)
        json["gang"] = true;
    if (step.sameRack)
        json["sameRack"] = true;
    if (!step.requiredLabel.empty())
        json["requiredLabel"] = step.requiredLabel;
    if (!step.dataRack.empty())
        json["dataRack"] = step.dataRack;
    if (step.maximumPerServer > 0)
        json["maximumPerServer"] = step.maximumPerServer;
    if (step.duplicatesAllowed)
        json["duplicatesAllowed"] = true;
    if (step.longRunning)
        json["longRunning"] = true;
    if (step.maximumMissing > 0)
        json["maximumMissing"] = step.maximumMissing;
    if (!step.image.empty())
        json["image"] = step.image;
    if (step.latencyTarget.count() > 0)
        json["latencyTargetMs"] = step.latencyTarget.count();
    if (step.fillsIdleCapacity)
        json["fillsIdleCapacity"] = true;
    return json;
}

StepSpecification stepFromJson(const Json& json)
{
    StepSpecification step;
    step.taskCount = json.at("count").get<int>();
    step.perTask = { .milliCores = json.at("milliCores").get<std::int64_t>(),
        .memoryMb = json.at("memoryMb").get<std::int64_t>(),
        .accelerators = json.at("accelerators").get<std::int64_t>() };
    step.estimate = Duration(json.at("estimateMs").get<std::int64_t>());
    step.prerequisites = json.value("prerequisites", std::vector<int> {});
    step.savesProgress = json.value("savesProgress", false);
    step.gang = json.value("gang", false);
    step.sameRack = json.value("sameRack", false);
    step.requiredLabel = json.value("requiredLabel", std::string());
    step.dataRack = json.value("dataRack", std::string());
    step.maximumPerServer = json.value("maximumPerServer", 0);
    step.duplicatesAllowed = json.value("duplicatesAllowed", false);
    step.longRunning = json.value("longRunning", false);
    step.maximumMissing = json.value("maximumMissing", 0);
    step.image = json.value("image", std::string());
    step.latencyTarget = Duration(json.value("latencyTargetMs", std::int64_t { 0 }));
    step.fillsIdleCapacity = json.value("fillsIdleCapacity", false);
    return step;
}

/// A task with at least one attempt, as [index, phase, attempts, failures, checkpoint]; while it runs, followed by
/// server, incarnation, the checkpoint that it started from and the server's machine. Counts of server crashes follow
/// as an object, if any; in that of a gang's first task is the newest attempt in which a member failed.
Json taskToJson(std::size_t index, const Task& task, int lastFailedAttempt)
{
    Json json { index, static_cast<int>(task.phase), task.attempts, task.failures, task.checkpoint };
    if (task.run) {
        json.push_back(task.run->server);
        json.push_back(task.run->incarnation);
        json.push_back(task.run->checkpoint);
        json.push_back(task.run->machine);
    }
    if (task.crashes > 0 || !task.lostRuns.empty() || lastFailedAttempt > 0) {
        Json counts { { "crashes", task.crashes }, { "proven", task.provenCrashes }, { "suspicion", task.suspicion } };
        for (const LostRun& run : task.lostRuns)
            counts["lost"].push_back({ run.server, run.incarnation, run.suspicion, run.wasThere });
        if (task.runsAfterCrashes > 0)
            counts["runsAfter"] = task.runsAfterCrashes;
        if (lastFailedAttempt > 0)
            counts["failedAttempt"] = lastFailedAttempt;
        json.push_back(std::move(counts));
    }
    return json;
}

constexpr std::size_t fieldsOfLostRun = 4; ///< three in earlier releases

void countsFromJson(const Json& json, Step& step, Task& task)
{
    step.lastFailedAttempt = json.value("failedAttempt", step.lastFailedAttempt);
    task.crashes = json.at("crashes").get<int>();
    task.provenCrashes = json.value("proven", task.crashes); // earlier releases took all crashes for proven
    task.suspicion = json.at("suspicion").get<int>();
    task.runsAfterCrashes = json.value("runsAfter", 0);
    for (const Json& run : json.value("lost", Json::array()))
        task.lostRuns.push_back({ .server = run.at(0).get<std::string>(),
            .incarnation = run.at(1).get<std::int64_t>(),
            .suspicion = run.at(2).get<int>(),
            .wasThere = run.size() < fieldsOfLostRun || run.at(3).get<bool>() });
}

constexpr std::size_t fieldsOfRunningTask = 8; ///< without the machine, which earlier releases did not store

void taskFromJson(const Json& json, Step& step)
{
    Task& task = step.tasks.at(json.at(0).get<std::size_t>());
    task = { .waitingSince = task.waitingSince };
    const int phase = json.at(1).get<int>();
    task.phase = phase == static_cast<int>(TaskPhase::Running) ? TaskPhase::Running
        : phase == static_cast<int>(TaskPhase::Done)           ? TaskPhase::Done
                                                               : TaskPhase::Waiting;
    task.attempts = json.at(2).get<int>();
    task.failures = json.at(3).get<int>();
    task.checkpoint = json.at(4).get<std::string>();
    if (json.back().is_object())
        countsFromJson(json.back(), step, task);
    if (task.phase != TaskPhase::Running)
        return;
    if (json.size() < fieldsOfRunningTask) {
        task.phase = TaskPhase::Waiting;
        return;
    }
    Run run;
    run.attempt = task.attempts;
    run.server = json.at(5).get<std::string>();
    run.incarnation = json.at(6).get<std::int64_t>();
    run.checkpoint = json.at(7).get<std::string>();
    if (json.size() > fieldsOfRunningTask && json.at(fieldsOfRunningTask).is_string())
        run.machine = json.at(fieldsOfRunningTask).get<std::string>();
    run.phase = RunPhase::Ordered;
    task.run = std::move(run);
}

/// The number after so many dots; std::nullopt when there is none.
std::optional<int> numberInProgressKey(const std::string& key, int dots)
{
    std::size_t begin = 0;
    for (int dot = 0; dot < dots; ++dot) {
        begin = key.find('.', begin);
        if (begin == std::string::npos)
            return std::nullopt;
        ++begin;
    }
    const std::size_t end = std::min(key.find('.', begin), key.size());
    int number = 0;
    const auto [rest, error] = std::from_chars(key.data() + begin, key.data() + end, number);
    return error == std::errc() && rest == key.data() + end && number >= 0 ? std::optional(number) : std::nullopt;
}

} // namespace

std::string encodeLeadership(const LeadershipRow& row)
{
    return Json {
        { "holder", row.holder }, { "incarnation", row.incarnation }, { "term", row.term }, { "serial", row.serial },
        { "formerLeadersUntilMs", row.formerLeadersUntil.count() }, { "leftoversRemoved", row.leftoversRemoved }
    }.dump();
}

std::optional<LeadershipRow> decodeLeadership(const std::string& text)
{
    return decodeObject<LeadershipRow>(text, [](const Json& json) {
        return LeadershipRow { .holder = json.at("holder").get<std::string>(),
            .incarnation = json.at("incarnation").get<std::uint64_t>(),
            .term = json.at("term").get<FencingToken>(),
            .serial = json.at("serial").get<std::uint64_t>(),
            .formerLeadersUntil = StoreTime(json.value("formerLeadersUntilMs", std::int64_t { 0 })),
            .leftoversRemoved = json.value("leftoversRemoved", false) };
    });
}

std::string encodeMember(const MemberRow& row)
{
    return Json {
        { "node", row.node }, { "zone", row.zone }, { "address", row.address }, { "heartbeatPort", row.heartbeatPort },
        { "relayPort", row.relayPort }, { "incarnation", row.incarnation }
    }.dump();
}

std::optional<MemberRow> decodeMember(const std::string& text)
{
    return decodeObject<MemberRow>(text, [](const Json& json) {
        return MemberRow { .node = json.at("node").get<std::string>(),
            .zone = json.at("zone").get<std::string>(),
            .address = json.at("address").get<std::string>(),
            .heartbeatPort = json.at("heartbeatPort").get<std::uint16_t>(),
            .relayPort = json.at("relayPort").get<std::uint16_t>(),
            .incarnation = json.at("incarnation").get<std::uint64_t>() };
    });
}

std::string encodeJob(const JobRecord& record)
{
    Json steps = Json::array();
    for (const StepSpecification& step : record.specification.steps)
        steps.push_back(stepToJson(step));
    Json json { { "id", record.id }, { "host", record.host }, { "path", record.pathPrefix },
        { "account", record.account }, { "acceptedMs", record.acceptedAt.count() },
        { "payload", record.specification.payload }, { "steps", std::move(steps) } };
    if (record.specification.occurrences > 0) {
        json["occurrences"] = record.specification.occurrences;
        json["firstDueMs"] = record.specification.firstDue.count();
        json["intervalMs"] = record.specification.interval.count();
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<JobRecord> decodeJob(const std::string& text)
{
    return decodeObject<JobRecord>(text, [](const Json& json) {
        JobRecord record { .id = json.at("id").get<std::string>(),
            .host = json.at("host").get<std::string>(),
            .pathPrefix = json.at("path").get<std::string>(),
            .account = json.at("account").get<std::string>(),
            .acceptedAt = StoreTime(json.at("acceptedMs").get<std::int64_t>()) };
        record.specification.payload = json.at("payload").get<std::string>();
        for (const Json& step : json.at("steps"))
            record.specification.steps.push_back(stepFromJson(step));
        record.specification.occurrences = json.value("occurrences", 0);
        record.specification.firstDue = WallTime(json.value("firstDueMs", std::int64_t { 0 }));
        record.specification.interval = Duration(json.value("intervalMs", std::int64_t { 0 }));
        return record;
    });
}

std::string encodeState(JobState state) { return jobStateName(state); }

std::optional<JobState> decodeState(const std::string& text)
{
    const auto found = std::ranges::find_if(states, [&](JobState state) { return jobStateName(state) == text; });
    return found == states.end() ? std::nullopt : std::optional(*found);
}

std::string encodeRunTimes(const RunTimeSums& sums, const Estimates::QueueTimes* typical)
{
    Json json { { "weight", sums.weight }, { "x", sums.x }, { "y", sums.y }, { "xx", sums.xx }, { "xy", sums.xy } };
    if (typical)
        json["typical"] = Estimates::queueTimesToJson(*typical);
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<Estimates::QueueTimes> decodeTypicalTimes(const std::string& text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("typical"))
        return std::nullopt;
    return Estimates::queueTimesFromJson(json.at("typical"));
}

std::optional<RunTimeSums> decodeRunTimes(const std::string& text)
{
    return decodeObject<RunTimeSums>(text, [](const Json& json) {
        return RunTimeSums { .weight = json.at("weight").get<double>(),
            .x = json.at("x").get<double>(),
            .y = json.at("y").get<double>(),
            .xx = json.at("xx").get<double>(),
            .xy = json.at("xy").get<double>() };
    });
}

std::string encodeProgress(const Occurrence& occurrence, int row)
{
    const std::size_t begin = static_cast<std::size_t>(row) * tasksPerRow;
    std::size_t position = 0; // of the task among all tasks of the occurrence
    Json steps = Json::array();
    for (const Step& step : occurrence.steps) {
        Json tasks = Json::array();
        for (std::size_t index = 0; index < step.tasks.size(); ++index, ++position) {
            if (position < begin || position >= begin + tasksPerRow)
                continue;
            const Task& task = step.tasks[index];
            if (task.phase != TaskPhase::Waiting || task.attempts > 0)
                tasks.push_back(taskToJson(index, task, index == 0 ? step.lastFailedAttempt : 0));
        }
        steps.push_back(std::move(tasks));
    }
    return steps.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool decodeProgress(const std::string& text, Occurrence& occurrence)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_array() || json.size() != occurrence.steps.size())
        return false;
    try {
        for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
            for (const Json& task : json.at(index))
                taskFromJson(task, occurrence.steps[index]);
        }
    } catch (const std::exception&) {
        return false; // a member is missing, has another type or names a task that the job does not have
    }
    return true;
}

std::string progressKey(const std::string& jobId, int occurrence, int row)
{
    std::string key = jobId + '.' + std::to_string(occurrence);
    if (row > 0)
        key += '.' + std::to_string(row);
    return key;
}

std::optional<int> occurrenceOfProgressKey(const std::string& key) { return numberInProgressKey(key, 1); }

std::optional<int> rowOfProgressKey(const std::string& key)
{
    return std::ranges::count(key, '.') == 1 ? std::optional(0) : numberInProgressKey(key, 2);
}

std::string jobOfProgressKey(const std::string& key) { return key.substr(0, key.find('.')); }

std::string cancelKey(const std::string& jobId) { return jobId + std::string(cancelSuffix); }

std::optional<std::string> jobOfCancelKey(const std::string& key)
{
    if (!key.ends_with(cancelSuffix))
        return std::nullopt;
    return key.substr(0, key.size() - cancelSuffix.size());
}

} // namespace WisteriaHill::Scheduling
