#include "soak/httpconnection.h"

#include "platform/wirenames.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace WisteriaHill::Soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr unsigned httpVersion = 11;

} // namespace

HttpResponse HttpConnection::call(const HttpRequest& request, const boost::asio::yield_context& yield)
{
    boost::system::error_code error;
    HttpResponse answer;
    if (!this->stream) {
        this->stream.emplace(this->context);
        this->stream->expires_after(request.timeout);
        const asio::ip::tcp::endpoint target(asio::ip::address_v4::loopback(), this->port);
        this->stream->async_connect(target, yield[error]);
    }
    if (!error) {
        http::request<http::string_body> message(
            http::string_to_verb(request.method), request.path, httpVersion, request.body);
        message.set(http::field::host, request.host);
        message.set(http::field::content_type, "application/json");
        message.set(Platform::Wire::deadlineHeader, std::to_string(request.timeout.count()));
        if (!request.key.empty())
            message.set(http::field::authorization, "Bearer " + request.key);
        message.prepare_payload();
        this->stream->expires_after(request.timeout);
        http::async_write(*this->stream, message, yield[error]);
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> response;
        if (!error)
            http::async_read(*this->stream, buffer, response, yield[error]);
        answer.broken = error && error != boost::beast::error::timeout;
        if (!error) {
            answer.status = static_cast<int>(response.result_int());
            answer.body = response.body();
            if (response.need_eof() || !response.keep_alive())
                error = http::error::end_of_stream;
        }
    }
    if (error)
        this->stream.reset();
    return answer;
}

} // namespace WisteriaHill::Soak
