/// Readers of the single sections of the document; used by parseConfiguration alone.
#pragma once

#include "model/configuration.h"

namespace WisteriaHill::Model::Internal {

/// Each reads one section into `configuration` and adds faults with paths that start at the section's name.
void readAccounts(const Utils::Json& document, Configuration& configuration, Utils::JsonFaults& faults);
void readGuarantees(const Utils::Json& document, Configuration& configuration, Utils::JsonFaults& faults);
void readInventory(const Utils::Json& document, Configuration& configuration, Utils::JsonFaults& faults);
void readPolicy(const Utils::Json& document, Configuration& configuration, Utils::JsonFaults& faults);
void readServices(const Utils::Json& document, Configuration& configuration, Utils::JsonFaults& faults);
void readTeams(const Utils::Json& document, Configuration& configuration, Utils::JsonFaults& faults);

} // namespace WisteriaHill::Model::Internal
