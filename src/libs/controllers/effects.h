/// The effects that controllers request from their environment, and the answers to them.
#pragma once

#include "model/lease.h"
#include "model/peermessage.h"
#include "model/request.h"
#include "model/table.h"
#include "utils/checkedjson.h"
#include "utils/eventcatalogue.h"
#include "utils/steadytime.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace WisteriaHill::Controllers {

using Model::CallerId;
using Utils::Duration;
using Utils::SteadyTime;

/// Identifies one call. Each call is answered exactly once, at the latest when its timeout ends.
using CallId = std::uint64_t;

/// A host in the platform's list.
struct ListedHost {
    enum class Kind { EntryHost, BackendServer };
    Kind kind = Kind::EntryHost;
    std::string id;
    Model::PeerAddress address;
    bool leaving = false;
};

enum class HostListError { Unavailable };
enum class PeerError { Unreachable };

using RunResult = Utils::Result<Model::RunAnswer, Model::BackendError>;
using LeaseBatchResult = Utils::Result<Model::LeaseBatchAnswer, Model::BackendError>;
using PeerResult = Utils::Result<Model::PeerReply, PeerError>;
using HostListResult = Utils::Result<std::vector<ListedHost>, HostListError>;
using CallAnswer = std::variant<Model::TableAnswer, RunResult, LeaseBatchResult, PeerResult, HostListResult>;

/// Calls to the platform.
struct CallTable {
    CallId call = 0;
    Model::TableOperation operation;
    Duration timeout { 0 };
};
struct FetchHostList {
    CallId call = 0;
    Duration timeout { 0 };
};

/// Calls to a backend server.
struct RunOnServer {
    CallId call = 0;
    Model::BackendServer server;
    Model::RunRequest request;
    Duration timeout { 0 };
};
struct SendLeaseBatch {
    CallId call = 0;
    Model::BackendServer server;
    Model::LeaseBatch batch;
    Duration timeout { 0 };
};

/// Messages to other daemons.
struct SendHeartbeat {
    Model::PeerAddress to;
    Model::Heartbeat heartbeat;
};
struct CallPeer {
    CallId call = 0;
    Model::PeerAddress to;
    Model::PeerRequest request;
    Duration timeout { 0 };
};

/// The final answer to a caller's request.
struct AnswerCaller {
    CallerId caller = 0;
    Model::CallerAnswer answer;
};

/// The answer to a query or an order of a caller or operator that concerns the scheduler itself.
struct AnswerDocument {
    CallerId caller = 0;
    int status = 200;
    Utils::Json document;
    std::string entityTag; ///< empty when the answer has none
    std::optional<Duration> retryAfter;
};

struct LogEvent {
    Utils::Event event;
    std::string details;
};

/// The graceful stop is complete.
struct ExitProcess { };

using Effect = std::variant<CallTable, FetchHostList, RunOnServer, SendLeaseBatch, SendHeartbeat, CallPeer,
    AnswerCaller, AnswerDocument, LogEvent, ExitProcess>;
using Effects = std::vector<Effect>;

} // namespace WisteriaHill::Controllers
