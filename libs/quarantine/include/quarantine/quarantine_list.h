#pragma once

#include "quarantine/prompt_part.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <vector>

namespace carawaylink::quarantine {

struct quarantine_entry {
    part_hash part;
    /// How often the part was quarantined, including this time.
    unsigned times = 0;
    duration remaining {};
    /// Of a part on probation: time since its term ended or a request last asked for it.
    duration idle {};
};

/// Prompt parts whose requests are refused, because they crashed the endpoints that answered them. Each further term is twice as long.
/// After its term a part is on probation until an endpoint answers a probe, it is quarantined again, or nobody has asked for it for a long
/// time. Does no I/O and reads no clock.
class quarantine_list {
public:
    /// Quarantines the part once more.
    quarantine_entry quarantine(part_hash part, monotonic_time now);
    /// Takes over an entry of another node, on probation if no time remains; returns false if it is known already.
    bool merge(const quarantine_entry& entry, monotonic_time now);

    /// Takes over a part that was quarantined so often, for a whole term; returns false if it is known already.
    bool restore(part_hash part, unsigned times, monotonic_time now);

    /// Time for which requests with the part are refused; nullopt if they are not.
    std::optional<duration> remaining(part_hash part, monotonic_time now) const;
    /// How often the part was quarantined; 0 if it is not known.
    unsigned timesOf(part_hash part) const;
    bool isOnProbation(part_hash part, monotonic_time now) const;
    /// A request asked for the part, which keeps it on probation.
    void recordDemand(part_hash part, monotonic_time now);
    /// An endpoint answered a probe of a part that was quarantined so often; returns whether that ended the quarantine.
    bool release(part_hash part, unsigned times, monotonic_time now);
    /// Entries in force, and those on probation that other nodes may have to learn.
    std::vector<quarantine_entry> held(monotonic_time now) const;
    std::size_t sizeInForce(monotonic_time now) const;
    std::size_t sizeOnProbation(monotonic_time now) const;
    /// Whether another part can be quarantined.
    bool hasRoom(monotonic_time now) const;
    /// Parts whose probation has begun since the last call.
    std::vector<part_hash> takeEnded(monotonic_time now);
    /// Forgets parts that nobody has asked for since long ago, and of too many on probation those that nobody has asked for longest.
    /// Returns the ones that were on probation.
    std::vector<part_hash> expire(monotonic_time now);

private:
    struct part_state {
        unsigned times = 0;
        monotonic_time until {};
        monotonic_time lastDemand {};
        bool hasEnded = false;
        /// An endpoint answered a probe.
        bool isReleased = false;

        bool isOnProbation(monotonic_time now) const { return times > 0 && until <= now && !isReleased; }
        monotonic_time lastUse() const { return std::max(until, lastDemand); }
    };

    std::unordered_map<part_hash, part_state> m_parts;
};

} // namespace carawaylink::quarantine
