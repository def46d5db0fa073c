#pragma once

#include "membership/failure_detector.h"

#include <cstddef>
#include <map>

namespace carawaylink {

/// Updates still to be disseminated, at most one per node. Each is sent a bounded number of times, the least often sent first.
class gossip_queue {
public:
    /// Replaces an older update about the same node.
    void add(member_update update);
    void remove(const node_id& node) { m_entries.erase(node); }
    bool contains(const node_id& node) const { return m_entries.contains(node); }
    std::size_t size() const { return m_entries.size(); }
    /// Appends updates to the packet until it holds maxUpdates or is full. transmissionLimit is the total number of times an update is
    /// sent. Updates about members that are not alive omit the addresses, which the receiver knows or does not need.
    void fill(membership_packet& packet, const node_id& to, std::size_t maxUpdates, std::size_t transmissionLimit);

private:
    struct entry {
        member_update update;
        std::size_t transmissions = 0;
    };
    std::map<node_id, entry> m_entries;
};

/// The update without domain, region and address; a receiver that does not know the member does not add it from such an update.
member_update compact(member_update update);
inline bool isCompact(const member_update& update)
{
    return update.domain.value.empty();
}

/// Number of times that each member sends an update: 3 * ceil(log2(members + 1)), which reaches all members with high probability.
std::size_t transmissionLimit(std::size_t members);

} // namespace carawaylink
