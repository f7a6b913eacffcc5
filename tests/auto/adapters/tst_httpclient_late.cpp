// Requests whose connection opens late, over real sockets.

#include "adapters/httpclient.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace WisteriaHill::Adapters;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t port = 18'457;

/// Listens with a full queue of new connections, so that connections to it stay in their opening until it is drained.
class FullListener {
public:
    FullListener()
    {
        this->address.sin_family = AF_INET;
        this->address.sin_port = htons(port);
        inet_pton(AF_INET, "127.0.0.1", &this->address.sin_addr);
        const int reuse = 1;
        setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
        if (bind(this->listener, this->socketAddress(), sizeof(this->address)) != 0 || listen(this->listener, 0) != 0)
            throw std::runtime_error("cannot listen");
        constexpr int fillers = 4;
        for (int number = 0; number < fillers; ++number) {
            this->sockets.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
            // The connection opens later, or never.
            static_cast<void>(connect(this->sockets.back(), this->socketAddress(), sizeof(this->address)));
        }
    }
    ~FullListener()
    {
        for (const int open : this->sockets)
            close(open);
        close(this->listener);
    }
    FullListener(const FullListener&) = delete;
    FullListener& operator=(const FullListener&) = delete;

    /// Makes room for further connections.
    void drain()
    {
        for (const int open : this->sockets)
            close(open);
        this->sockets.clear();
        listen(this->listener, SOMAXCONN);
    }

    /// Bytes that have arrived on any connection.
    std::size_t receivedBytes()
    {
        for (int open = 0; (open = accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK)) >= 0;)
            this->sockets.push_back(open);
        char buffer[4096];
        std::size_t bytes = 0;
        for (const int open : this->sockets)
            bytes += static_cast<std::size_t>(std::max<ssize_t>(0, recv(open, buffer, sizeof(buffer), 0)));
        return bytes;
    }

private:
    sockaddr* socketAddress() { return reinterpret_cast<sockaddr*>(&this->address); }

    int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in address {};
    std::vector<int> sockets;
};

void runFor(EventLoop& loop, Duration time)
{
    bool over = false;
    loop.after(time, [&over]() { over = true; });
    while (!over)
        loop.runOnce();
}

} // namespace

// A connection that opened while the process was suspended got its request long after the call's time-out.
TEST_CASE("a request is not sent when its connection opens after the time-out of the call, or without permission")
{
    const bool isPermitted = GENERATE(true, false);
    CAPTURE(isPermitted);
    FullListener listener;
    EventLoop loop;
    HttpClient client(loop);
    std::vector<HttpCallResult> results;
    bool mayBeSent = true;
    client.send({ .address = "127.0.0.1",
                    .port = port,
                    .method = "POST",
                    .path = "/order",
                    .body = "{}",
                    .timeout = isPermitted ? 500ms : 5000ms,
                    .mayBeSent = [&]() { return mayBeSent; } },
        [&](const HttpCallResult& result) { results.push_back(result); });
    runFor(loop, 100ms);
    listener.drain();
    mayBeSent = isPermitted;
    std::this_thread::sleep_for(2s); // the system opens the connection, as while the process is stopped
    runFor(loop, 300ms);
    CHECK(listener.receivedBytes() == 0);
    REQUIRE(results.size() == 1);
    CHECK(std::get<HttpClientError>(results.front()) == HttpClientError::NotSent);
}
