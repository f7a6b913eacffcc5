#include "soak/proxy.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <optional>

namespace WisteriaHill::Soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds heldCheckInterval { 20 }; ///< between checks whether held bytes may be forwarded
constexpr std::size_t chunkBytes = 16'384;

/// Closes the socket with a reset.
void resetOnClose(tcp::socket& socket)
{
    error_code ignored; // a socket that is closed already needs no reset
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

struct Proxy::Session {
    explicit Session(asio::io_context& context)
        : client(context)
        , server(context)
    {
    }

    void reset()
    {
        resetOnClose(this->client);
        resetOnClose(this->server);
    }

    tcp::socket client;
    tcp::socket server;
    bool silenced = false; ///< permanently
    std::optional<std::string> clientName; ///< set once it was needed
};

Proxy::Proxy(asio::io_context& context, ProxyOptions givenOptions)
    : context(context)
    , options(std::move(givenOptions))
    , acceptor(context, tcp::endpoint(asio::ip::make_address(this->options.address), this->options.port))
    , target(asio::ip::address_v4::loopback(), this->options.targetPort)
{
    asio::spawn(context, [this](const asio::yield_context& yield) { this->accept(yield); });
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

void Proxy::resetCutConnections()
{
    for (const std::weak_ptr<Session>& open : this->sessions) {
        const std::shared_ptr<Session> session = open.lock();
        if (session && this->isCutOff(*session))
            session->reset();
    }
}

bool Proxy::isCutOff(Session& session) const
{
    if (!this->options.identify || !this->options.isAnyCut())
        return false;
    if (!session.clientName) {
        error_code closed; // a client that has gone remains without a name
        const tcp::endpoint client = session.client.remote_endpoint(closed);
        session.clientName = closed ? std::string() : this->options.identify(client.port());
    }
    return this->options.isCut(*session.clientName);
}

bool Proxy::isHeld(Session& session, bool toTarget) const
{
    return (toTarget ? this->fault.silentToTarget : this->fault.silentToClient) || session.silenced
        || this->isCutOff(session);
}

void Proxy::silenceOpenConnections()
{
    for (const std::weak_ptr<Session>& open : this->sessions) {
        if (const std::shared_ptr<Session> session = open.lock())
            session->silenced = true;
    }
}

void Proxy::accept(const boost::asio::yield_context& yield)
{
    for (;;) {
        auto session = std::make_shared<Session>(this->context);
        this->acceptor.async_accept(session->client, yield);
        if (this->fault.refuse) {
            session->reset();
            continue;
        }
        this->sessions.remove_if([](const std::weak_ptr<Session>& open) { return open.expired(); });
        this->sessions.push_back(session);
        asio::spawn(
            this->context, [this, session](const asio::yield_context& yield) { this->connect(session, yield); });
    }
}

void Proxy::connect(const std::shared_ptr<Session>& session, const boost::asio::yield_context& yield)
{
    error_code error;
    session->server.async_connect(this->target, yield[error]);
    if (error) {
        session->reset();
        return;
    }
    session->client.set_option(tcp::no_delay(true), error);
    session->server.set_option(tcp::no_delay(true), error);
    asio::spawn(
        this->context, [this, session](const asio::yield_context& yield) { this->forward(session, true, yield); });
    asio::spawn(
        this->context, [this, session](const asio::yield_context& yield) { this->forward(session, false, yield); });
}

void Proxy::forward(const std::shared_ptr<Session>& session, bool toTarget, const boost::asio::yield_context& yield)
{
    tcp::socket& from = toTarget ? session->client : session->server;
    tcp::socket& into = toTarget ? session->server : session->client;
    asio::steady_timer timer(this->context);
    std::array<char, chunkBytes> chunk {};
    error_code error;
    while (!error) {
        const std::size_t size = from.async_read_some(asio::buffer(chunk), yield[error]);
        while (this->isHeld(*session, toTarget)) {
            timer.expires_after(heldCheckInterval);
            timer.async_wait(yield);
            if (!session->client.is_open())
                return;
        }
        if (this->fault.delay.count() > 0) {
            timer.expires_after(this->fault.delay);
            timer.async_wait(yield);
        }
        if (size > 0) {
            error_code writeError;
            asio::async_write(into, asio::buffer(chunk.data(), size), yield[writeError]);
            error = error ? error : writeError;
        }
    }
    // An orderly shutdown is forwarded as one; the other direction ends the session.
    if (error == asio::error::eof && into.is_open())
        into.shutdown(tcp::socket::shutdown_send, error);
    else
        session->reset();
}

} // namespace WisteriaHill::Soak
