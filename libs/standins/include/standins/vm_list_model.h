#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "standins/fault_set.h"
#include "standins/lagged_value.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carawaylink {

enum class vm_list_fault {
    lag_ms,
    down,
    pause,
    omit_share,
    stale,
    silent_connections,
};

inline constexpr std::array vmListFaults {
    fault_definition { "lag_ms", fault_kind::number, 0, 0, 600000 },
    fault_definition { "down" },
    fault_definition { "pause" },
    fault_definition { "omit_share", fault_kind::number, 0, 0, 1 },
    fault_definition { "stale" },
    fault_definition { "silent_connections" },
};

struct vm_entry {
    std::string address;
    /// "node" or "endpoint".
    std::string role;
    std::string service;
    /// "live" or "leaving".
    std::string state;
    std::string failureDomain;
};

/// The platform's list of vms, which answers with the list of lag_ms ago.
class vm_list_model {
public:
    vm_list_model(std::uint64_t seed, monotonic_time start);

    /// Adds an entry or replaces the one with that address.
    void put(monotonic_time now, vm_entry entry);
    /// Returns false where there is no such address.
    bool remove(monotonic_time now, const std::string& address);
    std::vector<vm_entry> list(monotonic_time now);

    /// While stale is set, answers stay those of the time at which it was set.
    void applyFaults(monotonic_time now, std::string_view json);
    const fault_set& faults() const { return m_faults; }

private:
    using entries = std::map<std::string, vm_entry>;

    fault_set m_faults;
    random_source m_random;
    entries m_current;
    lagged_value<entries> m_history;
    std::optional<monotonic_time> m_staleSince;
};

} // namespace carawaylink
