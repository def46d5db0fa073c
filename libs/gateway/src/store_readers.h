#pragma once

#include "base/ids.h"
#include "base/random.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace carawaylink::gateway {

/// Identifies an update and the time at which it was sent.
struct update_stamp {
    node_id origin;
    /// Process of the origin.
    std::uint64_t run = 0;
    std::uint64_t sequence = 0;
    /// On the origin's clock.
    std::chrono::microseconds sentAt {};
};

/// Which nodes read the store at the full rate for all others, as heard through their updates. Any node that misses readers becomes one
/// itself, the one with the lowest address first, so that no election is needed. Does no I/O and reads no clock.
class store_readers {
public:
    /// Number of nodes that read the store for all.
    static constexpr std::size_t readerCount = 2;

    /// Returns the age of the data now, or nullopt for an update that was received before.
    std::optional<duration> receive(const update_stamp& stamp, duration dataAge, monotonic_time now);
    /// Whether this node has to read for the others. rank: number of reachable nodes with lower addresses.
    bool shouldRead(const node_id& self, std::size_t rank, monotonic_time now);

private:
    struct reader_state {
        std::uint64_t run = 0;
        std::uint64_t sequence = 0;
        monotonic_time lastHeardAt {};
        /// Smallest difference between the clocks at sending and receipt, in this and the previous period.
        std::chrono::microseconds minDifference {};
        std::chrono::microseconds previousMinDifference {};
        monotonic_time periodSince {};
    };
    static duration transitDelay(reader_state& reader, std::chrono::microseconds sentAt, monotonic_time now);

    std::map<node_id, reader_state> m_readers;
    std::optional<monotonic_time> m_missingSince;
};

/// Nodes after one id and before another, in the order of their ids; an empty `before` stands for all later ones.
struct node_range {
    node_id after;
    node_id before;

    bool contains(const node_id& node) const { return after < node && (before.value.empty() || node < before); }
};

/// One receiver of an update, and the range of nodes to which it passes the update on.
struct relay_target {
    node_id node;
    node_range range;
};

/// Splits a range among a bounded number of receivers, so that all nodes form a tree below the origin of an update. The receivers of each
/// range are chosen at random, so that a lost node does not cut off the same nodes each time; nodes that the sender does not know are
/// reached by receivers that know them. nodes: the reachable ones, in ascending order.
std::vector<relay_target> relayTargets(
    const node_range& range, const node_id& self, const node_id& origin, std::span<const node_id> nodes, random_source& random);

} // namespace carawaylink::gateway
