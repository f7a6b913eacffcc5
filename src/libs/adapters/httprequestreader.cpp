#include "adapters/httprequestreader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <sys/socket.h>

namespace WisteriaHill::Adapters {

namespace {

constexpr std::size_t argumentBufferBytes = 4096;
constexpr int maximumHeaderValueBytes = 2048;

constexpr std::array customHeaders { HeaderName::idempotencyKey, HeaderName::changeId, HeaderName::deadline,
    HeaderName::account, HeaderName::requestId };

std::string customHeader(lws* wsi, const std::string& name)
{
    const std::string withColon = name + ":";
    const int nameLength = static_cast<int>(withColon.size());
    const int length = lws_hdr_custom_length(wsi, withColon.c_str(), nameLength);
    if (length <= 0 || length > maximumHeaderValueBytes)
        return {};
    std::string value(static_cast<std::size_t>(length) + 1, '\0');
    const int copied = lws_hdr_custom_copy(wsi, value.data(), length + 1, withColon.c_str(), nameLength);
    value.resize(static_cast<std::size_t>(std::max(copied, 0)));
    return value;
}

std::string methodName(int method)
{
    switch (method) {
    case LWSHUMETH_GET:
        return "GET";
    case LWSHUMETH_POST:
        return "POST";
    case LWSHUMETH_PUT:
        return "PUT";
    case LWSHUMETH_DELETE:
        return "DELETE";
    case LWSHUMETH_HEAD:
        return "HEAD";
    default:
        return "OTHER";
    }
}

} // namespace

std::string readHeader(lws* wsi, lws_token_indexes token)
{
    const int length = lws_hdr_total_length(wsi, token);
    if (length <= 0)
        return {};
    std::string value(static_cast<std::size_t>(length) + 1, '\0');
    const int copied = lws_hdr_copy(wsi, value.data(), length + 1, token);
    value.resize(static_cast<std::size_t>(std::max(copied, 0)));
    return value;
}

std::string peerAddress(lws* wsi)
{
    sockaddr_in address {};
    socklen_t length = sizeof(address);
    std::array<char, INET_ADDRSTRLEN> text {};
    if (getpeername(lws_get_socket_fd(wsi), reinterpret_cast<sockaddr*>(&address), &length) != 0
        || !inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size()))
        return {};
    return text.data();
}

void limitSocketBuffers(lws* wsi, int bytes)
{
    const int socket = lws_get_socket_fd(wsi);
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
}

HttpRequest readRequest(lws* wsi, const std::vector<std::string>& additionalHeaders)
{
    HttpRequest request;
    char* uri = nullptr;
    int uriLength = 0;
    request.method = methodName(lws_http_get_uri_and_method(wsi, &uri, &uriLength));
    if (uri)
        request.path.assign(uri, static_cast<std::size_t>(uriLength));

    std::array<char, argumentBufferBytes> fragment {};
    for (int index = 0;
         lws_hdr_copy_fragment(wsi, fragment.data(), static_cast<int>(fragment.size()), WSI_TOKEN_HTTP_URI_ARGS, index)
         > 0;
         ++index) {
        const std::string argument = fragment.data();
        const std::size_t equals = argument.find('=');
        request.query[argument.substr(0, equals)] = equals == std::string::npos ? "" : argument.substr(equals + 1);
    }

    request.headers[HeaderName::authorization] = readHeader(wsi, WSI_TOKEN_HTTP_AUTHORIZATION);
    request.headers[HeaderName::ifMatch] = readHeader(wsi, WSI_TOKEN_HTTP_IF_MATCH);
    for (const char* name : customHeaders)
        request.headers[name] = customHeader(wsi, name);
    request.headers[HeaderName::host] = readHeader(wsi, WSI_TOKEN_HOST);
    for (const std::string& name : additionalHeaders)
        request.headers[name] = customHeader(wsi, name);
    return request;
}

} // namespace WisteriaHill::Adapters
