/// Readers of the sections of the configuration document. Only parseConfiguration uses them.
#pragma once

#include "model/configuration.h"

namespace WisteriaHill::Model::Internal {

/// Each function reads one section into `configuration` and adds faults whose paths start with the section's name.
/// readGuarantees needs the accounts and the inventory to have been read before.
void readAccounts(const Utils::Json& document, Configuration& configuration, Utils::JsonFaults& faults);
void readGuarantees(const Utils::Json& document, Configuration& configuration, Utils::JsonFaults& faults);
void readInventory(const Utils::Json& document, Configuration& configuration, Utils::JsonFaults& faults);
void readPolicy(const Utils::Json& document, Configuration& configuration, Utils::JsonFaults& faults);
void readServices(const Utils::Json& document, Configuration& configuration, Utils::JsonFaults& faults);
void readTeams(const Utils::Json& document, Configuration& configuration, Utils::JsonFaults& faults);

} // namespace WisteriaHill::Model::Internal
