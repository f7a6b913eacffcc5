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

HttpAnswer HttpConnection::call(const HttpQuestion& question, const boost::asio::yield_context& yield)
{
    boost::system::error_code error;
    HttpAnswer answer;
    if (!this->stream) {
        this->stream.emplace(this->context);
        this->stream->expires_after(question.timeout);
        const asio::ip::tcp::endpoint target(asio::ip::address_v4::loopback(), this->port);
        this->stream->async_connect(target, yield[error]);
    }
    if (!error) {
        http::request<http::string_body> request(
            http::string_to_verb(question.method), question.path, httpVersion, question.body);
        request.set(http::field::host, question.host);
        request.set(http::field::content_type, "application/json");
        request.set(Platform::Wire::deadlineHeader, std::to_string(question.timeout.count()));
        if (!question.key.empty())
            request.set(http::field::authorization, "Bearer " + question.key);
        request.prepare_payload();
        this->stream->expires_after(question.timeout);
        http::async_write(*this->stream, request, yield[error]);
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
