/// The rows that keep what is known of machines' speeds. Pure: no clock, no input or output.
#pragma once

#include "scheduling/estimates/serverspeeds.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace WisteriaHill::Scheduling::Estimates {

/// Names a row: the machines of a service are divided into a fixed number of blocks by their names, and a further row
/// holds what belongs to the service as a whole.
struct SpeedRowName {
    static constexpr int blocks = 32;
    static constexpr int wholeService = blocks; ///< in place of a block

    std::string service;
    int block = wholeService;

    auto operator<=>(const SpeedRowName&) const = default; // NOLINT(modernize-use-nullptr): false alarm on <=>
};

/// The block that holds a machine; the same on all hosts.
int speedBlockOf(const std::string& machine);

/// Key of the row, of bounded length.
std::string speedRowKey(const SpeedRowName& name);

/// True for keys that speedRowKey() makes.
bool isSpeedRowKey(const std::string& key);

/// The text of a row. Machines beyond what a row holds are left out. Precondition: the service is known.
std::string encodeSpeedRow(const ServerSpeeds& speeds, const SpeedRowName& name);

/// Takes what a stored row tells. Returns false, and changes nothing, when the row is damaged or of another version.
bool restoreSpeedRow(const std::string& text, ServerSpeeds& speeds, SteadyTime now);

/// Tells which rows are due. A row is written again only when its machines have changed enough. Thread safety: none.
class SpeedRows {
public:
    /// A machine's figure has moved by `change`, in logarithms.
    void noteMachine(const std::string& service, const std::string& machine, double change);

    /// The proof about a service has changed, so that its row is due at once.
    void noteService(const std::string& service);

    /// The rows that are due, those with the largest changes first, at most `limit`; they count as written.
    std::vector<SpeedRowName> take(std::size_t limit);

    /// Makes a row due that was not written.
    void putBack(const SpeedRowName& name);

    bool isDue() const { return this->due > 0; }
    void clear() { *this = {}; }

private:
    void note(const SpeedRowName& name, double change);

    std::map<SpeedRowName, double> changes;
    std::size_t due = 0;
};

} // namespace WisteriaHill::Scheduling::Estimates
