/// Identifiers and version numbers of the model.
#pragma once

#include "utils/identifier.h"

#include <cstdint>

namespace WisteriaHill::Model {

using ClientAccountId = Utils::Identifier<struct ClientAccountTag>;
using AvailabilityZoneId = Utils::Identifier<struct AvailabilityZoneTag>;
using BackendServerId = Utils::Identifier<struct BackendServerTag>;
using EntryHostId = Utils::Identifier<struct EntryHostTag>;
using GuaranteeId = Utils::Identifier<struct GuaranteeTag>;
using JobId = Utils::Identifier<struct JobTag>;
using RackId = Utils::Identifier<struct RackTag>;
using ServiceId = Utils::Identifier<struct ServiceTag>;
using TeamId = Utils::Identifier<struct TeamTag>;

/// Distinguishes a process from its successors on the same host. Incarnations can be compared for equality, but have
/// no order.
using Incarnation = std::uint64_t;

/// The fencing token of one lease, issued by the backend server; zero means no token.
using LeaseToken = std::uint64_t;

/// The version of a row in the table service; zero means that the row is absent.
using RowVersion = std::uint64_t;

/// The revision of the configuration document; zero means that there is no configuration.
using Revision = std::uint64_t;

} // namespace WisteriaHill::Model
