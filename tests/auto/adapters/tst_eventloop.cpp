#include "adapters/datagramlink.h"
#include "adapters/eventloop.h"
#include "adapters/httpclient.h"
#include "adapters/httpserver.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill::Adapters;

namespace {

constexpr std::uint16_t testPort = 18'471;
constexpr Duration callTimeout { 2000 };

} // namespace

TEST_CASE("timers run in the order of their times, and cancelled ones do not run")
{
    EventLoop loop;
    std::vector<int> ran;
    loop.after(Duration(30), [&]() {
        ran.push_back(30);
        loop.stop();
    });
    loop.after(Duration(10), [&]() { ran.push_back(10); });
    const EventLoop::TimerId cancelled = loop.after(Duration(15), [&]() { ran.push_back(15); });
    loop.after(Duration(20), [&]() { ran.push_back(20); });
    loop.cancel(cancelled);
    loop.run();
    CHECK(ran == std::vector<int> { 10, 20, 30 });
}

TEST_CASE("an exception in an action is reported and the loop goes on")
{
    EventLoop loop;
    std::vector<std::string> errors;
    loop.onError([&](const std::exception& error) { errors.emplace_back(error.what()); });
    loop.post([]() { throw std::out_of_range("posted"); });
    loop.after(Duration(1), []() { throw std::runtime_error("timer"); });
    loop.after(Duration(10), [&]() { loop.stop(); });
    loop.run();
    CHECK(errors == std::vector<std::string> { "posted", "timer" });
}

TEST_CASE("without an error handler an exception in an action leaves the loop")
{
    EventLoop loop;
    loop.post([]() { throw std::out_of_range("posted"); });
    CHECK_THROWS_AS(loop.run(), std::out_of_range);
}

TEST_CASE("a request whose handler throws gets status 500, and the next one is served")
{
    EventLoop loop;
    int errors = 0;
    loop.onError([&](const std::exception&) { ++errors; });
    HttpServer* answering = nullptr;
    HttpServer server(
        loop, { .address = "127.0.0.1", .port = testPort }, [&](HttpExchangeId exchange, const HttpRequest& request) {
            if (request.path == "/fails")
                throw std::out_of_range("map::at");
            answering->respond(exchange, { .body = "served" });
        });
    answering = &server;
    HttpClient client(loop, { .keepConnections = true });
    std::vector<HttpResponse> responses;
    for (const char* path : { "/fails", "/works" }) {
        client.send({ .address = "127.0.0.1", .port = testPort, .path = path, .timeout = callTimeout },
            [&](const HttpCallResult& result) {
                responses.push_back(std::get<HttpResponse>(result));
                loop.stop();
            });
        loop.run();
    }
    REQUIRE(responses.size() == 2);
    CHECK(responses[0].status == 500);
    CHECK(responses[1].status == 200);
    CHECK(responses[1].body == "served");
    CHECK(errors == 1);
}

TEST_CASE("a datagram whose handler throws does not end the process")
{
    EventLoop loop;
    int errors = 0;
    loop.onError([&](const std::exception&) {
        ++errors;
        loop.stop();
    });
    const DatagramAddress address { .address = "127.0.0.1", .port = testPort };
    DatagramLink link(loop, address, [](const std::string&) { throw std::length_error("malformed"); });
    link.send(address, "bytes");
    loop.after(callTimeout, [&]() { loop.stop(); });
    loop.run();
    CHECK(errors == 1);
}
