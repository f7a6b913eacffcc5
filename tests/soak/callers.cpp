#include "soak/callers.h"

#include "platform/wirenames.h"
#include "utils/checkedjson.h"
#include "utils/httpstatus.h"

#include <iomanip>
#include <sstream>

namespace WisteriaHill::Soak {

namespace asio = boost::asio;
namespace Wire = Platform::Wire;
using Utils::Json;

namespace {

constexpr const char* accountKey = "mill-key";
constexpr Duration minimumPause { 80 }; ///< between two jobs
constexpr Duration maximumPause { 350 };
constexpr Duration pollInterval { 350 }; ///< between two state requests
constexpr Duration retryInterval { 300 }; ///< after a refusal or a call without an answer
constexpr Duration maximumRepeatDelay { 2000 };
constexpr Duration maximumCancelDelay { 1000 };
constexpr int cancelledPercent = 15;
constexpr int repeatedPercent = 10; ///< of accepted jobs; their callers submit them a second time
constexpr int abandonedPercent = 50; ///< of refused jobs; their callers do not retry
constexpr int urgentPercent = 25;
constexpr int milliCores = 1000; ///< of each task
constexpr int megabytes = 1000;
constexpr Duration lastingWork = std::chrono::hours(1);
constexpr int lastingTasks = 2; ///< of each job with tasks that last

bool isRefusal(int status)
{
    return status == Utils::HttpStatus::tooManyRequests || status == Utils::HttpStatus::unavailable;
}

std::string bodyOf(const std::vector<PlannedStep>& steps)
{
    Json needs = Json::array();
    Json described = Json::array();
    for (const PlannedStep& step : steps) {
        needs.push_back({ milliCores, megabytes, step.accelerators, step.work.count() });
        Json json { { Wire::count, step.tasks }, { Wire::cpu, milliCores }, { Wire::memory, megabytes },
            { Wire::accelerators, step.accelerators }, { Wire::estimate, step.work.count() } };
        if (step.gang)
            json[Wire::gang] = true;
        if (step.lasts)
            json[Wire::longRunning] = true;
        if (step.afterPrevious)
            json[Wire::prerequisites] = { described.size() - 1 };
        described.push_back(json);
    }
    return Json { { Wire::payload, Json { { "needs", needs } }.dump() }, { Wire::steps, described } }.dump();
}

} // namespace

struct Callers::Caller {
    std::string id;
    std::string queue;
    std::string body;
    bool lasts = false;
    int daemon = 0;
    std::unique_ptr<HttpConnection> connection;
};

Callers::Callers(asio::io_context& context, Fleet& fleet, History& history, std::uint64_t seed, LoadScale scale)
    : context(context)
    , fleet(fleet)
    , history(history)
    , random(seed)
    , scale(scale)
{
}

void Callers::start()
{
    asio::spawn(this->context, [this](const asio::yield_context& yield) { this->submitJobs(yield); });
}

std::vector<PlannedStep> Callers::randomSteps()
{
    constexpr int kinds = 3;
    switch (this->random.between(1, kinds)) {
    case 1:
        return { { .tasks = this->random.between(1, 4),
            .accelerators = this->random.between(0, 2),
            .work = this->random.between(Duration(100), Duration(1500)) } };
    case 2:
        return { { .tasks = this->random.between(1, 3),
                     .accelerators = 1,
                     .work = this->random.between(Duration(100), Duration(800)) },
            { .tasks = this->random.between(1, 2),
                .afterPrevious = true,
                .accelerators = 2,
                .work = this->random.between(Duration(100), Duration(800)) } };
    default:
        return { { .tasks = this->random.between(2, 3),
            .gang = true,
            .accelerators = acceleratorsPerServer / this->random.between(1, 2),
            .work = this->random.between(Duration(200), Duration(1000)) } };
    }
}

void Callers::submitJobs(const boost::asio::yield_context& yield)
{
    while (this->submitting) {
        auto caller = std::make_shared<Caller>();
        std::ostringstream id;
        id << std::hex << std::setw(16) << std::setfill('0') << this->random.number();
        caller->id = id.str();
        caller->queue = this->random.chance(urgentPercent) ? "/cut/" : "/score/";
        std::vector<PlannedStep> steps = this->randomSteps();
        for (PlannedStep& step : steps)
            step.work *= this->scale.work;
        if (static_cast<int>(this->history.jobs.size()) < this->scale.lastingJobs) {
            steps = { { .tasks = lastingTasks, .accelerators = 1, .work = lastingWork, .lasts = true } };
            caller->lasts = true;
        }
        caller->body = bodyOf(steps);
        this->history.jobs[caller->id].steps = steps;
        ++this->openCount;
        asio::spawn(
            this->context, [this, caller](const asio::yield_context& yield) { this->followJob(caller, yield); });
        waitFor(this->context, this->random.between(minimumPause, maximumPause) * this->scale.pause, yield);
    }
}

Call Callers::call(const std::shared_ptr<Caller>& caller, CallKind kind, const boost::asio::yield_context& yield)
{
    if (!caller->connection || !caller->connection->isOpen()) {
        caller->daemon = this->random.between(0, this->fleet.daemonCount() - 1);
        caller->connection = std::make_unique<HttpConnection>(this->context, this->fleet.callersPort(caller->daemon));
    }
    HttpRequest request { .path = caller->queue + caller->id, .key = accountKey };
    if (kind == CallKind::Submit) {
        request.method = "POST";
        request.body = caller->body;
    } else if (kind == CallKind::Cancel) {
        request.method = "DELETE";
    }
    Call made { .kind = kind, .daemon = caller->daemon, .sent = now() };
    const HttpResponse answer = caller->connection->call(request, yield);
    made.ended = now();
    made.status = answer.status;
    made.broken = answer.broken;
    const Json body = Json::parse(answer.body, nullptr, false);
    if (kind == CallKind::State && body.is_object() && body.contains(Wire::state))
        made.state = body.at(Wire::state).get<std::string>();
    this->history.jobs.at(caller->id).calls.push_back(made);
    return made;
}

bool Callers::submit(const std::shared_ptr<Caller>& caller, const boost::asio::yield_context& yield)
{
    bool undecided = false; ///< an earlier attempt may have been accepted
    for (;;) {
        const Call made = this->call(caller, CallKind::Submit, yield);
        if (isSuccess(made.status))
            return true;
        undecided = undecided || !isRefusal(made.status);
        if (!undecided && this->random.chance(abandonedPercent))
            return false;
        waitFor(this->context, retryInterval, yield);
    }
}

void Callers::followJob(const std::shared_ptr<Caller>& caller, const boost::asio::yield_context& yield)
{
    const bool cancels = this->random.chance(cancelledPercent) || caller->lasts;
    const bool repeats = this->random.chance(repeatedPercent);
    if (this->submit(caller, yield)) {
        if (repeats) {
            waitFor(this->context, this->random.between(Duration(0), maximumRepeatDelay), yield);
            this->call(caller, CallKind::Submit, yield);
        }
        if (cancels) {
            waitFor(this->context, this->random.between(Duration(0), maximumCancelDelay), yield);
            while (caller->lasts && !this->lastingCancelled)
                waitFor(this->context, pollInterval, yield);
            while (!isSuccess((this->call(caller, CallKind::Cancel, yield)).status))
                waitFor(this->context, retryInterval, yield);
        }
        for (;;) {
            const Call polled = this->call(caller, CallKind::State, yield);
            if (isFinal(polled.state))
                break;
            waitFor(this->context, pollInterval, yield);
        }
    }
    --this->openCount;
}

} // namespace WisteriaHill::Soak
