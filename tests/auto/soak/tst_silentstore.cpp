// A daemon whose store accepts connections and answers nothing: real processes and sockets.

#include "platform/wirenames.h"
#include "soak/fleet.h"
#include "soak/httpconnection.h"
#include "utils/httpstatus.h"

#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <iomanip>
#include <sstream>
#include <unistd.h>

using namespace WisteriaHill;
using namespace Soak;
namespace asio = boost::asio;
namespace HttpStatus = Utils::HttpStatus;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t firstPort = 18'500;
constexpr const char* method[] = { "POST", "GET", "DELETE" };
constexpr Duration deadline { 3000 };
constexpr Duration startBound { 10'000 };
constexpr const char* job
    = R"({"Spec":"{\"needs\":[[1000,1000,1,500]]}","Steps":[{"Count":1,"Cpu":1000,"MemMb":1000,"Gpu":1,"EstimateMs":500}]})";

struct Answer {
    std::string id; ///< of the job
    std::string method;
    HttpResponse response;
    Duration took { 0 };
};

/// One daemon and its store. All calls are made from coroutines on `context`.
struct SilentStoreFixture {
    SilentStoreFixture()
    {
        std::filesystem::remove_all(this->directory);
        std::filesystem::create_directories(this->directory);
        this->fleet.emplace(this->context,
            FleetOptions { .buildDirectory = BUILD_DIRECTORY,
                .workDirectory = this->directory,
                .firstPort = firstPort,
                .daemons = 1,
                .servers = 0 });
    }

    ~SilentStoreFixture()
    {
        this->fleet.reset();
        std::filesystem::remove_all(this->directory);
    }

    SilentStoreFixture(const SilentStoreFixture&) = delete;
    SilentStoreFixture& operator=(const SilentStoreFixture&) = delete;

    /// Runs `test` in a coroutine until it ends; an exception of it is thrown on.
    void run(const std::function<void(const asio::yield_context&)>& test)
    {
        std::exception_ptr thrown;
        asio::spawn(this->context, [&](const asio::yield_context& yield) {
            try {
                test(yield);
            } catch (...) {
                thrown = std::current_exception();
            }
            this->context.stop();
        });
        this->context.run();
        if (thrown)
            std::rethrow_exception(thrown);
    }

    void wait(Duration time, const asio::yield_context& yield)
    {
        asio::steady_timer timer(this->context, time);
        timer.async_wait(yield);
    }

    void waitUntilReady(const asio::yield_context& yield)
    {
        const Moment begin = now();
        for (;;) {
            HttpConnection connection(this->context, this->fleet->readinessPort(0));
            if (connection.call({ .path = Platform::Wire::readyPath }, yield).status == HttpStatus::ok)
                return;
            REQUIRE(now() < begin + startBound);
            this->wait(20ms, yield);
        }
    }

    /// Sends a call on a connection of its own.
    Answer call(const std::string& verb, const std::string& id, const asio::yield_context& yield)
    {
        HttpConnection connection(this->context, this->fleet->callersPort(0));
        HttpRequest request { .method = verb, .path = "/cut/" + id, .key = "mill-key", .timeout = deadline };
        if (verb == "POST")
            request.body = job;
        const Moment sent = now();
        const HttpResponse response = connection.call(request, yield);
        return {
            .id = id, .method = verb, .response = response, .took = std::chrono::duration_cast<Duration>(now() - sent)
        };
    }

    std::string nextId()
    {
        std::ostringstream id;
        id << std::hex << std::setw(16) << std::setfill('0') << ++this->lastId;
        return id.str();
    }

    /// Sends this many calls at once: submissions, state requests and cancellations in turn.
    void sendCalls(int count)
    {
        for (int number = 0; number < count; ++number) {
            ++this->open;
            asio::spawn(this->context,
                [this, verb = std::string(method[number % std::size(method)]), id = this->nextId()](
                    const asio::yield_context& yield) {
                    this->answers.push_back(this->call(verb, id, yield));
                    --this->open;
                });
        }
    }

    void waitForAnswers(const asio::yield_context& yield)
    {
        while (this->open > 0)
            this->wait(10ms, yield);
    }

    std::string directory
        = std::filesystem::temp_directory_path() / ("wisteriahill-silentstore-" + std::to_string(getpid()));
    asio::io_context context;
    std::optional<Fleet> fleet;
    std::vector<Answer> answers;
    std::uint64_t lastId = 0;
    int open = 0;
};

} // namespace

TEST_CASE("while the store is silent each of 60 calls at once is answered before its deadline, and refusals are true")
{
    SilentStoreFixture fixture;
    fixture.run([&](const asio::yield_context& yield) {
        fixture.waitUntilReady(yield);
        fixture.fleet->signalStore(SIGSTOP);
        fixture.sendCalls(60);
        fixture.waitForAnswers(yield);
        for (const Answer& answer : fixture.answers) {
            INFO(answer.method << ' ' << answer.id << ", " << answer.took.count() << " ms");
            CHECK_FALSE(answer.response.broken);
            CHECK((answer.response.status == HttpStatus::unavailable
                || answer.response.status == HttpStatus::gatewayTimeout));
        }

        fixture.fleet->signalStore(SIGCONT);
        fixture.waitUntilReady(yield);
        fixture.wait(1s, yield); // calls that the store received while it was silent are carried out now
        int refused = 0;
        for (const Answer& answer : fixture.answers) {
            if (answer.method != "POST" || answer.response.status != HttpStatus::unavailable)
                continue;
            ++refused;
            INFO("POST " << answer.id);
            CHECK(fixture.call("GET", answer.id, yield).response.status == HttpStatus::gone);
        }
        CHECK(refused > 0);
    });
}

TEST_CASE("once calls to the store are known to fail, calls are refused at once")
{
    SilentStoreFixture fixture;
    fixture.run([&](const asio::yield_context& yield) {
        constexpr Duration atOnce { 500 }; // less than the time-out of a call to the store
        fixture.waitUntilReady(yield);
        fixture.fleet->signalStore(SIGSTOP);
        fixture.sendCalls(10);
        fixture.waitForAnswers(yield);
        fixture.answers.clear();
        fixture.sendCalls(60);
        fixture.waitForAnswers(yield);
        for (const Answer& answer : fixture.answers) {
            INFO(answer.method << ' ' << answer.id);
            CHECK(answer.response.status == HttpStatus::unavailable);
            CHECK(answer.took < atOnce);
        }
    });
}
