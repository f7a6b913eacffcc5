#include "adapters/datagramlink.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace WisteriaHill::Adapters {

namespace {

bool toSocketAddress(const DatagramAddress& address, sockaddr_in& socketAddress)
{
    socketAddress = {};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(address.port);
    return inet_pton(AF_INET, address.address.c_str(), &socketAddress.sin_addr) == 1;
}

int boundSocket(const DatagramAddress& localAddress)
{
    sockaddr_in address {};
    if (!toSocketAddress(localAddress, address))
        throw std::runtime_error("not an IPv4 address: " + localAddress.address);
    const int descriptor = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0 || ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(descriptor);
        throw std::runtime_error(
            "cannot bind UDP socket to " + localAddress.address + ":" + std::to_string(localAddress.port));
    }
    return descriptor;
}

} // namespace

DatagramLink::DatagramLink(EventLoop& loop, const DatagramAddress& localAddress, ReceivedHandler receivedHandler)
    : loop(loop)
    , receivedHandler(std::move(receivedHandler))
{
    this->protocols[0].name = "datagram";
    this->protocols[0].callback = callback;
    this->protocols[0].user = this;
    lws_context_creation_info info {};
    info.port = CONTEXT_PORT_NO_LISTEN_SERVER;
    info.protocols = this->protocols;
    info.vhost_name = "datagram";
    this->vhost = lws_create_vhost(loop.context(), &info);

    lws_sock_file_fd_type descriptor {};
    descriptor.sockfd = boundSocket(localAddress);
    const auto type = static_cast<lws_adoption_type>(LWS_ADOPT_SOCKET | LWS_ADOPT_FLAG_UDP);
    this->socket = lws_adopt_descriptor_vhost(this->vhost, type, descriptor, "datagram", nullptr);
    if (!this->socket)
        throw std::runtime_error("cannot add the UDP socket for " + localAddress.address + ":"
            + std::to_string(localAddress.port) + " to the event loop");
}

void DatagramLink::send(const DatagramAddress& to, const std::string& bytes)
{
    sockaddr_in address {};
    if (!toSocketAddress(to, address))
        return;
    this->sentBytes += bytes.size();
    ::sendto(lws_get_socket_fd(this->socket), bytes.data(), bytes.size(), MSG_DONTWAIT,
        reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

int DatagramLink::callback(lws* wsi, lws_callback_reasons reason, void*, void* in, std::size_t length)
{
    const lws_protocols* protocol = lws_get_protocol(wsi);
    if (reason != LWS_CALLBACK_RAW_RX || !protocol)
        return 0;
    auto* link = static_cast<DatagramLink*>(protocol->user);
    link->receivedBytes += length;
    link->loop.guarded([&]() { link->receivedHandler(std::string(static_cast<const char*>(in), length)); });
    return 0;
}

} // namespace WisteriaHill::Adapters
