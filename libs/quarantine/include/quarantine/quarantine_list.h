#pragma once

#include "quarantine/prompt_part.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace carawaylink::quarantine {

struct quarantine_entry {
    part_hash part;
    /// How often the part was quarantined, including this time.
    unsigned times = 0;
    duration remaining {};
};

/// Prompt parts whose requests are refused, because they crashed the endpoints that answered them. Each further time
/// is twice as long. Parts stay known for a while after their time. Does no I/O and reads no clock.
class quarantine_list {
public:
    /// Quarantines the part once more.
    quarantine_entry quarantine(part_hash part, monotonic_time now);
    /// Takes over an entry of another node; returns false if it is known already.
    bool merge(const quarantine_entry& entry, monotonic_time now);

    /// Takes over a part that was quarantined so often, for its last time; returns false if it is known already.
    bool restore(part_hash part, unsigned times, monotonic_time now);

    /// Time for which requests with the part are refused; nullopt if they are not.
    std::optional<duration> remaining(part_hash part, monotonic_time now) const;
    /// How often the part was quarantined; 0 if it is not known.
    unsigned timesOf(part_hash part) const;
    /// Entries in force.
    std::vector<quarantine_entry> inForce(monotonic_time now) const;
    std::size_t sizeInForce(monotonic_time now) const;
    /// Whether another part can be quarantined.
    bool hasRoom(monotonic_time now) const;
    /// Parts whose time has ended since the last call.
    std::vector<part_hash> takeEnded(monotonic_time now);
    /// Forgets parts whose time ended long ago.
    void expire(monotonic_time now);

private:
    struct part_state {
        unsigned times = 0;
        monotonic_time until {};
        bool hasEnded = false;
    };

    std::unordered_map<part_hash, part_state> m_parts;
};

} // namespace carawaylink::quarantine
