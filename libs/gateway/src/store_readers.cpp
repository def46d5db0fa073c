#include "store_readers.h"

#include <algorithm>

namespace carawaylink::gateway {

namespace {

// Number of nodes that read the store for all.
constexpr std::ptrdiff_t readerCount = 2;
// A reader sends several updates within this time.
constexpr auto readerTimeout = std::chrono::milliseconds(900);
// Nodes with higher addresses wait longer before they take over, so that few do at the same time.
constexpr auto takeoverDelayPerRank = std::chrono::milliseconds(150);
constexpr std::size_t maxDelayedRanks = 20;
// Delays on the way are measured against the smallest one of the last one to two periods, since clocks drift and pause.
constexpr auto delayPeriod = std::chrono::seconds(5);
constexpr std::size_t relayFanOut = 6;

} // namespace

std::optional<duration> store_readers::receive(const update_stamp& stamp, duration dataAge, monotonic_time now)
{
    const auto [position, inserted] = m_readers.try_emplace(stamp.origin);
    auto& reader = position->second;
    if (inserted || reader.run != stamp.run)
        reader = { stamp.run, 0, now, std::chrono::microseconds::max(), std::chrono::microseconds::max(), now };
    if (stamp.sequence <= reader.sequence)
        return std::nullopt;
    reader.sequence = stamp.sequence;
    reader.lastHeardAt = now;
    return dataAge + transitDelay(reader, stamp.sentAt, now);
}

duration store_readers::transitDelay(reader_state& reader, std::chrono::microseconds sentAt, monotonic_time now)
{
    const auto receivedAt = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch());
    const auto difference = receivedAt - sentAt;
    if (now - reader.periodSince > delayPeriod) {
        reader.previousMinDifference = reader.minDifference;
        reader.minDifference = difference;
        reader.periodSince = now;
    }
    reader.minDifference = std::min(reader.minDifference, difference);
    return difference - std::min(reader.minDifference, reader.previousMinDifference);
}

bool store_readers::shouldRead(const node_id& self, std::size_t rank, monotonic_time now)
{
    const auto before = std::ranges::count_if(
        m_readers, [&](const auto& entry) { return entry.first < self && now - entry.second.lastHeardAt <= readerTimeout; });
    if (before >= readerCount) {
        m_missingSince.reset();
        return false;
    }
    if (!m_missingSince)
        m_missingSince = now;
    const auto delayedRanks = std::min(rank, maxDelayedRanks);
    return static_cast<std::ptrdiff_t>(rank) < readerCount || now - *m_missingSince >= delayedRanks * takeoverDelayPerRank;
}

std::vector<node_id> relayTargets(const node_id& origin, const node_id& self, std::span<const node_id> nodes)
{
    const auto root = std::ranges::lower_bound(nodes, origin);
    const auto own = std::ranges::lower_bound(nodes, self);
    if (root == nodes.end() || *root != origin || own == nodes.end() || *own != self)
        return {};
    const auto count = nodes.size();
    const auto rootIndex = static_cast<std::size_t>(root - nodes.begin());
    const auto position = (static_cast<std::size_t>(own - nodes.begin()) + count - rootIndex) % count;
    std::vector<node_id> targets;
    for (auto child = relayFanOut * position + 1; child <= relayFanOut * (position + 1) && child < count; ++child)
        targets.push_back(nodes[(rootIndex + child) % count]);
    return targets;
}

} // namespace carawaylink::gateway
