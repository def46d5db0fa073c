#include "gossip_queue.h"

#include "membership/packet_size.h"

#include <algorithm>
#include <bit>
#include <vector>

namespace carawaylink {

void gossip_queue::add(member_update update)
{
    auto& item = m_entries[update.node];
    const bool isAlive = update.state == member_state::alive;
    item = { isAlive ? std::move(update) : compact(std::move(update)), 0 };
}

void gossip_queue::fill(membership_packet& packet, const node_id& to, std::size_t maxUpdates, std::size_t limit)
{
    if (m_entries.empty())
        return;
    std::vector<entry*> candidates;
    candidates.reserve(m_entries.size());
    for (auto& [node, item] : m_entries) {
        // The receiver is the authority on itself, unless it has to refute a suspicion.
        const bool known = node == to && item.update.state == member_state::alive;
        const bool present = std::ranges::find(packet.updates, node, &member_update::node) != packet.updates.end();
        if (!known && !present)
            candidates.push_back(&item);
    }
    std::ranges::stable_sort(candidates, {}, &entry::transmissions);
    for (auto* item : candidates) {
        if (packet.updates.size() >= maxUpdates)
            break;
        packet.updates.push_back(item->update);
        if (datagramSize(packet) > maxDatagramBytes) {
            packet.updates.pop_back();
            continue;
        }
        if (++item->transmissions >= limit)
            m_entries.erase(item->update.node);
    }
}

member_update compact(member_update update)
{
    update.domain = {};
    update.region.clear();
    update.httpAddress.clear();
    return update;
}

std::size_t transmissionLimit(std::size_t members)
{
    // bit_width(n) is ceil(log2(n + 1)).
    return 3 * static_cast<std::size_t>(std::bit_width(members));
}

} // namespace carawaylink
