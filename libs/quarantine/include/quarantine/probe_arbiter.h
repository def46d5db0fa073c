#pragma once

#include "quarantine/prompt_part.h"

#include <algorithm>
#include <concepts>
#include <optional>
#include <unordered_map>

namespace carawaylink::quarantine {

/// Grants the probes of parts whose quarantine term is over, at the node in charge of them: one request with the part at a time. A node
/// that comes to be in charge does not know what its predecessor granted and refuses for a while, so that a crash of that probe is known
/// first. Each lost node in charge or lost prober thus lets at most one further request through. Does no I/O and reads no clock.
class probe_arbiter {
public:
    /// Returns whether the node may send one request with the part.
    bool ask(part_hash part, const node_id& prober, monotonic_time now);
    /// The node's probe has ended without an answer, or was not sent.
    void end(part_hash part, const node_id& prober, monotonic_time now);
    /// Forgets the parts for which isInCharge is false.
    template <std::predicate<part_hash> Predicate> void retain(Predicate isInCharge)
    {
        std::erase_if(m_parts, [&](const auto& entry) { return !isInCharge(entry.first); });
    }

private:
    struct part_state {
        std::optional<node_id> prober;
        /// No probe is granted before.
        monotonic_time nextProbeAt;
    };

    std::unordered_map<part_hash, part_state> m_parts;
};

} // namespace carawaylink::quarantine
