#include "placement/prefix_belief.h"

#include "base/time.h"

#include <algorithm>
#include <limits>
#include <ranges>

namespace carawaylink::placement {

namespace {

// Weight of a new comparison in the exponential moving average; after six wrong predictions in a row the estimate is ignored.
constexpr double smoothingFactor = 0.2;
constexpr double minAverage = 0.3;
// Differences between the two predictions that are smaller than this are within the variation of measured times.
constexpr double minDifferenceMs = 8;
constexpr double minDifferenceFraction = 0.2;
// An endpoint that takes this much longer than without any reuse has become slow, which says nothing about reuse.
constexpr double maxSlowdown = 1.5;

} // namespace

tokens prefix_belief::kept(std::span<const prompt_part> parts) const
{
    tokens total { 0 };
    if (m_newest == none)
        return total;
    for (const auto& part : parts) {
        if (find(part.prefix) == none)
            break;
        total.value += part.length.value;
    }
    return total;
}

// From the last part to the first, so that no part is dropped before those that depend on it.
void prefix_belief::use(std::span<const prompt_part> parts)
{
    if (m_newest == none)
        return;
    for (const auto& part : parts | std::views::reverse) {
        if (const auto position = find(part.prefix); position != none)
            makeNewest(position);
    }
}

void prefix_belief::add(std::span<const prompt_part> parts, tokens capacity)
{
    for (const auto& part : parts | std::views::reverse) {
        if (const auto position = find(part.prefix); position != none)
            makeNewest(position);
        else
            insert(part);
    }
    limitTo(capacity);
}

void prefix_belief::limitTo(tokens capacity)
{
    while (m_oldest != none && m_length > capacity)
        removeOldest();
}

std::size_t prefix_belief::bytes() const
{
    return m_entries.capacity() * sizeof(entry) + (m_free.capacity() + m_buckets.capacity()) * sizeof(index);
}

prefix_belief::index prefix_belief::find(std::uint64_t prefix) const
{
    if (m_buckets.empty())
        return none;
    auto position = m_buckets[prefix % bucketCount];
    while (position != none && m_entries[position].prefix != prefix)
        position = m_entries[position].next;
    return position;
}

void prefix_belief::insert(const prompt_part& part)
{
    if (size() == maxEntries)
        removeOldest();
    if (m_buckets.empty())
        m_buckets.assign(bucketCount, none);
    auto position = static_cast<index>(m_entries.size());
    if (m_free.empty()) {
        m_entries.emplace_back();
    } else {
        position = m_free.back();
        m_free.pop_back();
    }
    auto& bucket = m_buckets[part.prefix % bucketCount];
    const auto length = std::min<std::int64_t>(part.length.value, std::numeric_limits<std::uint32_t>::max());
    m_entries[position] = { part.prefix, static_cast<std::uint32_t>(length), none, none, bucket };
    bucket = position;
    m_length.value += length;
    linkNewest(position);
}

void prefix_belief::makeNewest(index position)
{
    if (position == m_newest)
        return;
    unlink(position);
    linkNewest(position);
}

void prefix_belief::linkNewest(index position)
{
    m_entries[position].older = m_newest;
    m_entries[position].newer = none;
    if (m_newest != none)
        m_entries[m_newest].newer = position;
    m_newest = position;
    if (m_oldest == none)
        m_oldest = position;
}

void prefix_belief::unlink(index position)
{
    const auto& removed = m_entries[position];
    (removed.newer == none ? m_newest : m_entries[removed.newer].older) = removed.older;
    (removed.older == none ? m_oldest : m_entries[removed.older].newer) = removed.newer;
}

void prefix_belief::removeOldest()
{
    const auto position = m_oldest;
    unlink(position);
    auto* link = &m_buckets[m_entries[position].prefix % bucketCount];
    while (*link != position)
        link = &m_entries[*link].next;
    *link = m_entries[position].next;
    m_length.value -= m_entries[position].length;
    m_free.push_back(position);
}

double reuse_check::weight() const
{
    return m_average < minAverage ? 0 : m_average;
}

std::optional<bool> reuse_check::record(duration measured, duration withReuse, duration withoutReuse)
{
    const double without = inMilliseconds(withoutReuse);
    const double difference = without - inMilliseconds(withReuse);
    const double elapsed = inMilliseconds(measured);
    if (difference < std::max(minDifferenceMs, minDifferenceFraction * without) || elapsed > maxSlowdown * without)
        return std::nullopt;
    const bool isFound = elapsed < without - difference / 2;
    m_average += smoothingFactor * ((isFound ? 1.0 : 0.0) - m_average);
    return isFound;
}

} // namespace carawaylink::placement
