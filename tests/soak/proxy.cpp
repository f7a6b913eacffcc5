#include <utility> // boost/asio/awaitable.hpp needs it

#include "soak/proxy.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace WisteriaHill::Soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds heldCheckInterval { 20 }; ///< how soon held bytes go on after the silence
constexpr std::size_t pieceBytes = 16'384;

/// Closing such a socket sends a reset.
void resetOnClose(tcp::socket& socket)
{
    error_code ignored; // a socket that is closed already needs no reset
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

struct Proxy::Session {
    explicit Session(tcp::socket client)
        : client(std::move(client))
        , server(this->client.get_executor())
    {
    }

    void reset()
    {
        resetOnClose(this->client);
        resetOnClose(this->server);
    }

    tcp::socket client;
    tcp::socket server;
    bool silenced = false; ///< for good
};

Proxy::Proxy(asio::io_context& context, std::uint16_t port, std::uint16_t targetPort)
    : context(context)
    , acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), port))
    , target(asio::ip::address_v4::loopback(), targetPort)
{
    asio::co_spawn(context, this->accept(), asio::detached);
}

bool Proxy::isFaulty() const
{
    return this->fault.refuse || this->fault.silentToTarget || this->fault.silentToClient
        || this->fault.delay.count() > 0;
}

void Proxy::resetConnections()
{
    for (const std::weak_ptr<Session>& open : this->sessions) {
        if (const std::shared_ptr<Session> session = open.lock())
            session->reset();
    }
}

void Proxy::silenceOpenConnections()
{
    for (const std::weak_ptr<Session>& open : this->sessions) {
        if (const std::shared_ptr<Session> session = open.lock())
            session->silenced = true;
    }
}

asio::awaitable<void> Proxy::accept()
{
    for (;;) {
        auto session = std::make_shared<Session>(co_await this->acceptor.async_accept(asio::use_awaitable));
        if (this->fault.refuse) {
            session->reset();
            continue;
        }
        this->sessions.remove_if([](const std::weak_ptr<Session>& open) { return open.expired(); });
        this->sessions.push_back(session);
        asio::co_spawn(this->context, this->connect(session), asio::detached);
    }
}

asio::awaitable<void> Proxy::connect(std::shared_ptr<Session> session)
{
    error_code error;
    co_await session->server.async_connect(this->target, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        session->reset();
        co_return;
    }
    session->client.set_option(tcp::no_delay(true), error);
    session->server.set_option(tcp::no_delay(true), error);
    asio::co_spawn(this->context, this->pump(session, true), asio::detached);
    asio::co_spawn(this->context, this->pump(session, false), asio::detached);
}

asio::awaitable<void> Proxy::pump(std::shared_ptr<Session> session, bool toTarget)
{
    tcp::socket& from = toTarget ? session->client : session->server;
    tcp::socket& into = toTarget ? session->server : session->client;
    asio::steady_timer timer(this->context);
    std::array<char, pieceBytes> piece {};
    error_code error;
    while (!error) {
        const std::size_t size
            = co_await from.async_read_some(asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
        while ((toTarget ? this->fault.silentToTarget : this->fault.silentToClient) || session->silenced) {
            timer.expires_after(heldCheckInterval);
            co_await timer.async_wait(asio::use_awaitable);
            if (!session->client.is_open())
                co_return;
        }
        if (this->fault.delay.count() > 0) {
            timer.expires_after(this->fault.delay);
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (size > 0) {
            error_code writeError;
            co_await asio::async_write(
                into, asio::buffer(piece.data(), size), asio::redirect_error(asio::use_awaitable, writeError));
            error = error ? error : writeError;
        }
    }
    // An orderly end is passed on as such; the other direction ends the session.
    if (error == asio::error::eof && into.is_open())
        into.shutdown(tcp::socket::shutdown_send, error);
    else
        session->reset();
}

} // namespace WisteriaHill::Soak
