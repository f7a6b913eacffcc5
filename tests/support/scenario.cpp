#include "support/scenario.h"

#include "model/job.h"
#include "support/fleet.h"
#include "utils/duration.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <sstream>

namespace WisteriaHill::Tests {

namespace {

using Words = std::vector<std::string>;

constexpr Duration settleTime { 5000 };

Words split(const std::string& line)
{
    std::istringstream stream(line.substr(0, line.find('#')));
    Words words;
    for (std::string word; stream >> word;)
        words.push_back(word);
    return words;
}

/// One execution of a scenario. A malformed command throws a std::exception.
class ScenarioRun {
public:
    std::vector<std::string> run(const std::string& text)
    {
        std::istringstream stream(text);
        std::string line;
        for (this->lineNumber = 1; std::getline(stream, line); ++this->lineNumber) {
            const Words words = split(line);
            if (!words.empty())
                this->execute(words);
        }
        this->lineNumber = 0;
        this->fleet->advance(settleTime);
        for (const std::string& violation : this->fleet->violations())
            this->fail(violation);
        return this->failures;
    }

private:
    using Command = std::function<void(const Words&)>;

    void execute(const Words& words)
    {
        if (words[0] == "fleet") {
            this->build(words);
            return;
        }
        const auto command = this->commands.find(words[0]);
        if (!this->fleet || command == this->commands.end())
            throw std::runtime_error("line " + std::to_string(this->lineNumber) + ": unknown command " + words[0]);
        command->second(words);
    }

    /// fleet hosts=3 servers=4 spare=0 guarantee=2x8
    void build(const Words& words)
    {
        FleetOptions options;
        for (std::size_t index = 1; index < words.size(); ++index) {
            const std::size_t equals = words[index].find('=');
            const std::string name = words[index].substr(0, equals);
            const std::string value = words[index].substr(equals + 1);
            if (name == "hosts")
                options.hosts = static_cast<std::uint32_t>(std::stoul(value));
            else if (name == "servers")
                options.zone.servers = static_cast<std::uint32_t>(std::stoul(value));
            else if (name == "spare")
                options.zone.spareServers = static_cast<std::uint32_t>(std::stoul(value));
            else if (name == "seed")
                options.seed = std::stoul(value);
            else if (name == "guarantee")
                options.guarantees["render"]
                    = { { "account", "large" }, { "zone", "akl" }, { "shape", shapeJson(value) } };
            else
                throw std::runtime_error("line " + std::to_string(this->lineNumber) + ": unknown fleet option " + name);
        }
        this->fleet = std::make_unique<Fleet>(options);
        this->fleet->advance(Duration(3000));
    }

    static Model::GangShape shapeOf(const std::string& text)
    {
        const std::size_t times = text.find('x');
        return { static_cast<std::uint32_t>(std::stoul(text.substr(0, times))),
            static_cast<std::uint32_t>(std::stoul(text.substr(times + 1))) };
    }
    static Utils::Json shapeJson(const std::string& text)
    {
        const Model::GangShape shape = shapeOf(text);
        return { { "servers", shape.servers }, { "acceleratorsPerServer", shape.acceleratorsPerServer } };
    }
    static Duration durationOf(const std::string& text) { return Utils::parseDuration(text).value(); }
    static std::size_t numberOf(const std::string& text) { return std::stoul(text); }

    /// host 0 kill | start | pause | resume | stop | cut platform | cut peers | cut server 2; "join" ends a cut
    void host(const Words& words)
    {
        const std::size_t index = numberOf(words.at(1));
        const std::string& what = words.at(2);
        if (what == "kill")
            this->fleet->kill(index);
        else if (what == "start")
            this->fleet->start(index);
        else if (what == "pause")
            this->fleet->pause(index);
        else if (what == "resume")
            this->fleet->resume(index);
        else if (what == "stop")
            this->fleet->stopGracefully(index);
        else if (what == "cut" || what == "join")
            this->cut(index, words, what == "cut");
        else
            throw std::runtime_error("line " + std::to_string(this->lineNumber) + ": unknown host command " + what);
    }

    void cut(std::size_t index, const Words& words, bool cut)
    {
        if (words.at(3) == "platform")
            this->fleet->cutFromPlatform(index, cut);
        else if (words.at(3) == "peers")
            this->fleet->cutFromPeers(index, cut);
        else
            this->fleet->cutFromServer(index, numberOf(words.at(4)), cut);
    }

    /// server 1 kill | restart | silent | answering | fails | works | leaves | listed | slow 2s
    void server(const Words& words)
    {
        const std::size_t index = numberOf(words.at(1));
        const std::string& what = words.at(2);
        if (what == "kill")
            this->fleet->killServer(index);
        else if (what == "restart")
            this->fleet->restartServer(index);
        else if (what == "silent" || what == "answering")
            this->fleet->setSilent(index, what == "silent");
        else if (what == "fails" || what == "works")
            this->fleet->setFailsEverything(index, what == "fails");
        else if (what == "leaves")
            this->fleet->setLeaving(index);
        else if (what == "listed")
            this->fleet->listAsLeaving(index, Duration(0));
        else if (what == "slow")
            this->fleet->setServiceTime(index, durationOf(words.at(3)));
        else
            throw std::runtime_error("line " + std::to_string(this->lineNumber) + ": unknown server command " + what);
    }

    /// platform down | up | slow 2s | loses 0.5
    void platform(const Words& words)
    {
        const std::string& what = words.at(1);
        if (what == "slow")
            this->fleet->faults.platformDelay = durationOf(words.at(2));
        else if (what == "loses")
            this->fleet->faults.tableAnswerLossRate = std::stod(words.at(2));
        else
            this->fleet->faults.platformDown = what == "down";
    }

    /// request NAME host 0 [key K] [body B]
    void request(const Words& words)
    {
        const std::string& name = words.at(1);
        std::string key;
        std::string body = name;
        for (std::size_t index = 4; index + 1 < words.size(); index += 2)
            (words[index] == "key" ? key : body) = words[index + 1];
        this->callers[name] = this->fleet->request(numberOf(words.at(3)), body, key);
    }

    /// load NAME host 0 every 20ms for 5s: idempotent requests at this interval
    void load(const Words& words)
    {
        const Duration every = durationOf(words.at(5));
        const Duration bound = durationOf(words.at(7));
        for (Duration passed { 0 }; passed < bound; passed += every) {
            this->fleet->request(numberOf(words.at(3)), words.at(1) + std::to_string(passed.count()));
            this->fleet->advance(every);
        }
    }

    /// job NAME host 0 shape 2x8 runs 5s [guarantee] [urgent] [attached] [once]
    void job(const Words& words)
    {
        Model::JobSpecification specification { .account = Model::ClientAccountId("large"),
            .shape = shapeOf(words.at(5)),
            .payload = std::to_string(durationOf(words.at(7)).count()) };
        for (std::size_t index = 8; index < words.size(); ++index) {
            specification.urgent |= words[index] == "urgent";
            specification.attached |= words[index] == "attached";
            specification.idempotent &= words[index] != "once";
            if (words[index] == "guarantee")
                specification.guarantee = Model::GuaranteeId("render");
        }
        this->callers[words.at(1)] = this->fleet->job(numberOf(words.at(3)), specification);
    }

    /// edit NAME host 0 aging 5min [version V] [change ID]: edits the policy section
    void edit(const Words& words)
    {
        const std::size_t host = numberOf(words.at(3));
        const auto& configuration = *this->fleet->core(host).state().configuration;
        Utils::Json document = configuration.documents.at("policy");
        document["agingBound"] = words.at(5);
        Model::RowVersion version = configuration.versions.at("policy");
        std::string change = words.at(1);
        for (std::size_t index = 6; index + 1 < words.size(); index += 2) {
            if (words[index] == "version")
                version = numberOf(words[index + 1]);
            else
                change = words[index + 1];
        }
        this->callers[words.at(1)] = this->fleet->edit(host, "policy", document, version, change);
    }

    /// expect NAME completed | notRun | unknown | status 409 | state running | field replayed
    void expect(const Words& words)
    {
        const std::string actual = this->actualOf(words.at(1), words.at(2));
        const std::string& wanted = words.back();
        if (actual != wanted)
            this->fail("expected " + words.at(1) + " " + words.at(2) + " to be " + wanted + ", but it is " + actual);
    }

    /// one A B status 200 409: one of the two has the first status, the other the second
    void one(const Words& words)
    {
        std::multiset<std::string> actual;
        for (const std::size_t name : { 1, 2 })
            actual.insert(this->actualOf(words.at(name), words.at(3)));
        if (actual != std::multiset<std::string> { words.at(4), words.at(5) })
            this->fail("expected " + words.at(4) + " and " + words.at(5) + ", but it is " + *actual.begin() + " and "
                + *actual.rbegin());
    }

    std::string actualOf(const std::string& name, const std::string& what)
    {
        const Model::CallerId caller = this->callers.at(name);
        if (what == "status") {
            const auto* answer = this->fleet->documentAnswer(caller);
            return answer ? std::to_string(answer->status) : "unanswered";
        }
        if (what == "state")
            return this->jobState(caller);
        const auto sent = this->fleet->oracle().requests().find(caller);
        if (sent != this->fleet->oracle().requests().end() && sent->second.answer)
            return std::string(Model::outcomeName(sent->second.answer->outcome));
        const auto* answer = this->fleet->documentAnswer(caller);
        return answer ? answer->document.value("outcome", "none") : "unanswered";
    }

    std::string jobState(Model::CallerId caller)
    {
        const auto* answer = this->fleet->documentAnswer(caller);
        if (!answer || !answer->document.contains("id"))
            return "unanswered";
        const auto id = answer->document.at("id").get<Model::JobId>();
        for (std::size_t host = 0; host < this->fleet->hostCount(); ++host) {
            if (!this->fleet->isRunning(host))
                continue;
            const auto& jobs = this->fleet->core(host).state().jobs;
            const auto job = jobs.find(id);
            if (job != jobs.end())
                return std::string(Model::jobStateName(job->second.record.state));
        }
        const auto row = this->fleet->table().rows().find("jobs/akl/" + id.value());
        return row == this->fleet->table().rows().end()
            ? "none"
            : std::string(Model::jobStateName(Model::jobFromText(row->second.value)->state));
    }

    /// runs NAME 1: the request's body ran once
    void runs(const Words& words)
    {
        const std::size_t count = this->fleet->oracle().runCount(words.at(1));
        if (count != numberOf(words.at(2)))
            this->fail(words.at(1) + " ran " + std::to_string(count) + " times, expected " + words.at(2));
    }

    /// revision 2 hosts 0 1 2
    void revision(const Words& words)
    {
        for (std::size_t index = 3; index < words.size(); ++index) {
            const auto& configuration = this->fleet->core(numberOf(words[index])).state().configuration;
            const std::string actual = configuration ? std::to_string(configuration->revision) : "none";
            if (actual != words.at(1))
                this->fail("host " + words[index] + " has revision " + actual + ", expected " + words.at(1));
        }
    }

    /// mark: remembers the time; quiet 1 since 3s: server 1 got no new work later than 3 s after the mark
    void quiet(const Words& words)
    {
        const SteadyTime allowedUntil = this->marked + durationOf(words.at(3));
        if (this->fleet->lastNewWork(numberOf(words.at(1))) > allowedUntil)
            this->fail("server " + words.at(1) + " got new work later than " + words.at(3) + " after the mark");
    }

    void fail(const std::string& what)
    {
        this->failures.push_back("line " + std::to_string(this->lineNumber) + ": " + what);
    }

    std::unique_ptr<Fleet> fleet;
    std::map<std::string, Model::CallerId> callers;
    std::vector<std::string> failures;
    std::size_t lineNumber = 0;
    SteadyTime marked;
    const std::map<std::string, Command> commands {
        { "wait", [this](const Words& words) { this->fleet->advance(durationOf(words.at(1))); } },
        { "host", [this](const Words& words) { this->host(words); } },
        { "server", [this](const Words& words) { this->server(words); } },
        { "platform", [this](const Words& words) { this->platform(words); } },
        { "request", [this](const Words& words) { this->request(words); } },
        { "load", [this](const Words& words) { this->load(words); } },
        { "job", [this](const Words& words) { this->job(words); } },
        { "cancel",
            [this](const Words& words) {
                const auto* answer = this->fleet->documentAnswer(this->callers.at(words.at(1)));
                this->fleet->cancelJob(numberOf(words.at(3)), answer->document.at("id").get<Model::JobId>());
            } },
        { "edit", [this](const Words& words) { this->edit(words); } },
        { "drain",
            [this](const Words& words) { this->fleet->drain(numberOf(words.at(3)), numberOf(words.at(1)), true); } },
        { "undrain",
            [this](const Words& words) { this->fleet->drain(numberOf(words.at(3)), numberOf(words.at(1)), false); } },
        { "expect", [this](const Words& words) { this->expect(words); } },
        { "one", [this](const Words& words) { this->one(words); } },
        { "runs", [this](const Words& words) { this->runs(words); } },
        { "revision", [this](const Words& words) { this->revision(words); } },
        { "mark", [this](const Words&) { this->marked = this->fleet->now(); } },
        { "quiet", [this](const Words& words) { this->quiet(words); } },
        { "exited",
            [this](const Words& words) {
                if (!this->fleet->hasExited(numberOf(words.at(1))))
                    this->fail("host " + words.at(1) + " has not exited");
            } },
    };
};

} // namespace

std::vector<std::string> runScenario(const std::string& text) { return ScenarioRun().run(text); }

} // namespace WisteriaHill::Tests
