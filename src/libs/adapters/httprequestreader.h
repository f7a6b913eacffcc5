/// Reads requests from libwebsockets, and the ends of connections.
#pragma once

#include "adapters/httpmessage.h"

#include <libwebsockets.h>
#include <string>
#include <vector>

namespace WisteriaHill::Adapters {

/// The value of a header, or an empty string. Precondition: the request's headers are read and it is not completed.
/// Thread safety as for its server; so for all functions here.
std::string readHeader(lws* wsi, lws_token_indexes token);

/// The method, path, query and headers of a request; `additionalHeaders` are names in lower case.
HttpRequest readRequest(lws* wsi, const std::vector<std::string>& additionalHeaders);

/// The IPv4 address of a connection's other end; empty when it has none any more.
std::string peerAddress(lws* wsi);

/// Sets how many bytes the system keeps of a connection in each direction, about; an answer that is not taken and input
/// that is not read stay there.
void limitSocketBuffers(lws* wsi, int bytes);

} // namespace WisteriaHill::Adapters
