#include "support/httpstandin.h"

#include <utility> // Boost.Asio uses std::exchange without including it

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdlib>
#include <optional>
#include <vector>

namespace WisteriaHill::TestSupport {

namespace {

namespace Asio = boost::asio;
namespace Beast = boost::beast;
namespace Http = boost::beast::http;

constexpr unsigned int httpVersion = 11;
constexpr std::chrono::milliseconds firstReadDelay { 15 };
constexpr std::uint64_t maximumBodyBytes = 64'000'000;
constexpr std::string_view latePrefix = "/late/";
constexpr std::string_view slowPrefix = "/slow/";
constexpr std::size_t slowParts = 10;

} // namespace

struct HttpStandIn::Server {
    Asio::io_context context;
    Asio::ip::tcp::acceptor acceptor { this->context, Asio::ip::tcp::endpoint(Asio::ip::address_v4::any(), 0) };
    mutable std::mutex mutex;
    std::map<std::string, int> requests; ///< number of complete requests by body
    std::atomic<bool> readsLate = false;
    int malformed = 0;
    int accepted = 0;
    std::vector<std::shared_ptr<Session>> silent; ///< sessions whose connections stay open without a response

    void accept();
};

struct HttpStandIn::Session : std::enable_shared_from_this<HttpStandIn::Session> {
    explicit Session(Server& owner, Asio::ip::tcp::socket accepted)
        : server(owner)
        , socket(std::move(accepted))
        , timer(owner.context)
    {
    }

    /// Lets the client's writes fill the buffers of the connection before the first read.
    void readLater()
    {
        this->timer.expires_after(firstReadDelay);
        this->timer.async_wait([self = shared_from_this()](Beast::error_code) { self->read(); });
    }

    void read()
    {
        this->parser.emplace();
        this->parser->body_limit(maximumBodyBytes);
        Http::async_read(this->socket, this->buffer, *this->parser,
            [self = shared_from_this()](Beast::error_code error, std::size_t) { self->handleRead(error); });
    }

    void handleRead(Beast::error_code error)
    {
        const std::lock_guard lock(this->server.mutex);
        if (error) {
            const bool closedByClient = error == Http::error::end_of_stream || error == Http::error::partial_message
                || error.category() == Asio::error::get_system_category() || error == Asio::error::eof;
            this->server.malformed += closedByClient ? 0 : 1;
            return;
        }
        this->request = this->parser->release();
        ++this->server.requests[this->request.body()];
        this->respond(std::string(this->request.target()));
    }

    void respond(const std::string& target)
    {
        if (target == "/silent") {
            this->server.silent.push_back(shared_from_this());
            return;
        }
        if (target == "/reset") {
            Beast::error_code ignored;
            this->socket.set_option(Asio::socket_base::linger(true, 0), ignored);
            this->socket.close(ignored);
            return;
        }
        if (target.starts_with(latePrefix)) {
            this->timer.expires_after(std::chrono::milliseconds(std::atoi(target.c_str() + latePrefix.size())));
            this->timer.async_wait([self = shared_from_this()](Beast::error_code) { self->answer(Http::status::ok); });
            return;
        }
        const std::string& body = this->request.body();
        const std::string whole
            = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        if (target.starts_with(slowPrefix)) {
            this->writeSlowly(whole, std::chrono::milliseconds(std::atoi(target.c_str() + slowPrefix.size())));
            return;
        }
        if (target == "/stalled") {
            this->server.silent.push_back(shared_from_this());
            this->writeSlowly(whole.substr(0, whole.size() / 2), std::chrono::milliseconds(0));
            return;
        }
        if (target == "/truncated")
            this->writeRaw("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort", true);
        else if (target == "/garbage")
            this->writeRaw("this is not a response\r\n\r\n", true);
        else if (target == "/unframed")
            this->writeRaw("HTTP/1.1 200 OK\r\n\r\n" + body, true);
        else if (target == "/twice")
            this->writeRaw(whole + "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nstranger", false);
        else
            this->answer(target == "/refuse" ? Http::status::service_unavailable : Http::status::ok);
    }

    void answer(Http::status status)
    {
        auto response = std::make_shared<Http::response<Http::string_body>>(status, httpVersion);
        response->body() = this->request.body();
        response->prepare_payload();
        Http::async_write(
            this->socket, *response, [self = shared_from_this(), response](Beast::error_code error, std::size_t) {
                if (!error)
                    self->read();
            });
    }

    /// Writes the bytes in parts, with a pause after each.
    void writeSlowly(const std::string& bytes, std::chrono::milliseconds pause)
    {
        const std::size_t part = std::min(bytes.size(), std::max<std::size_t>(1, bytes.size() / slowParts));
        if (part == 0)
            return;
        auto next = std::make_shared<std::string>(bytes.substr(0, part));
        Asio::async_write(this->socket, Asio::buffer(*next),
            [self = shared_from_this(), next, rest = bytes.substr(part), pause](Beast::error_code error, std::size_t) {
                if (error)
                    return;
                self->timer.expires_after(pause);
                self->timer.async_wait([self, rest, pause](Beast::error_code) { self->writeSlowly(rest, pause); });
            });
    }

    void writeRaw(const std::string& bytes, bool thenClose)
    {
        auto owned = std::make_shared<std::string>(bytes);
        Asio::async_write(this->socket, Asio::buffer(*owned),
            [self = shared_from_this(), owned, thenClose](Beast::error_code error, std::size_t) {
                if (!error && !thenClose)
                    self->read();
            });
    }

    Server& server;
    Asio::ip::tcp::socket socket;
    Asio::steady_timer timer;
    Beast::flat_buffer buffer;
    std::optional<Http::request_parser<Http::string_body>> parser;
    Http::request<Http::string_body> request;
};

void HttpStandIn::Server::accept()
{
    this->acceptor.async_accept([this](Beast::error_code error, Asio::ip::tcp::socket socket) {
        if (error)
            return;
        {
            const std::lock_guard lock(this->mutex);
            ++this->accepted;
        }
        const auto session = std::make_shared<Session>(*this, std::move(socket));
        if (this->readsLate)
            session->readLater();
        else
            session->read();
        this->accept();
    });
}

HttpStandIn::HttpStandIn()
    : server(std::make_shared<Server>())
{
    this->server->accept();
    this->thread = std::thread([owned = this->server]() { owned->context.run(); });
}

HttpStandIn::~HttpStandIn()
{
    this->server->context.stop();
    this->thread.join();
    this->server->silent.clear();
}

void HttpStandIn::readLate() { this->server->readsLate = true; }

std::uint16_t HttpStandIn::port() const { return this->server->acceptor.local_endpoint().port(); }

int HttpStandIn::requestsWith(const std::string& body) const
{
    const std::lock_guard lock(this->server->mutex);
    const auto found = this->server->requests.find(body);
    return found == this->server->requests.end() ? 0 : found->second;
}

int HttpStandIn::malformedRequests() const
{
    const std::lock_guard lock(this->server->mutex);
    return this->server->malformed;
}

int HttpStandIn::acceptedConnections() const
{
    const std::lock_guard lock(this->server->mutex);
    return this->server->accepted;
}

} // namespace WisteriaHill::TestSupport
