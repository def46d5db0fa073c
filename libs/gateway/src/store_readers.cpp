#include "store_readers.h"

#include <algorithm>
#include <iterator>

namespace carawaylink::gateway {

namespace {

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
    if (before >= static_cast<std::ptrdiff_t>(readerCount)) {
        m_missingSince.reset();
        return false;
    }
    if (!m_missingSince)
        m_missingSince = now;
    const auto delayedRanks = std::min(rank, maxDelayedRanks);
    return rank < readerCount || now - *m_missingSince >= delayedRanks * takeoverDelayPerRank;
}

namespace {

// Splits the range into parts with one receiver each. Neighbouring parts both cover the gap between them.
void appendParts(std::vector<relay_target>& targets, const node_range& range, std::span<const node_id> receivers, std::size_t parts,
    random_source& random)
{
    for (std::size_t part = 0; part < parts; ++part) {
        const auto first = part * receivers.size() / parts;
        const auto last = (part + 1) * receivers.size() / parts;
        const auto chosen = std::uniform_int_distribution<std::size_t>(first, last - 1)(random);
        targets.push_back({ receivers[chosen],
            { first == 0 ? range.after : receivers[first - 1], last == receivers.size() ? range.before : receivers[last] } });
    }
}

} // namespace

std::vector<relay_target> relayTargets(
    const node_range& range, const node_id& self, const node_id& origin, std::span<const node_id> nodes, random_source& random)
{
    std::vector<node_id> receivers;
    std::ranges::copy_if(
        nodes, std::back_inserter(receivers), [&](const node_id& node) { return node != self && node != origin && range.contains(node); });
    // The node itself lies between its parts, so that none of its receivers sends the update back.
    const auto middle = std::ranges::lower_bound(receivers, self);
    const std::span lower(receivers.begin(), middle);
    const std::span upper(middle, receivers.end());
    const auto parts = std::min(relayFanOut, receivers.size());
    const auto lowerParts = std::min(
        lower.size(), std::max<std::size_t>(lower.empty() ? 0 : 1, parts * lower.size() / std::max<std::size_t>(receivers.size(), 1)));
    std::vector<relay_target> targets;
    appendParts(targets, { range.after, self }, lower, lowerParts, random);
    appendParts(targets, { self, range.before }, upper, std::min(upper.size(), parts - lowerParts), random);
    return targets;
}

} // namespace carawaylink::gateway
