#include "quarantine/quarantine_list.h"

#include <algorithm>
#include <utility>

namespace carawaylink::quarantine {

namespace {

constexpr auto initialQuarantine = std::chrono::seconds(60);
constexpr auto maxQuarantine = std::chrono::hours(1);
constexpr unsigned maxDoublings = 6;
// A part that crashes endpoints again within this time is convicted by its first crash.
constexpr auto probationTime = std::chrono::minutes(30);
// More than this would rather be a fault of the endpoints than of so many prompts.
constexpr std::size_t maxPartsInForce = 64;

// convictions: 1 or more.
duration timeOf(unsigned convictions)
{
    return std::min<duration>(initialQuarantine * (1U << std::min(convictions - 1, maxDoublings)), maxQuarantine);
}

} // namespace

quarantine_entry quarantine_list::convict(part_hash part, monotonic_time now)
{
    auto& state = m_parts[part];
    const auto time = timeOf(++state.convictions);
    state.until = now + time;
    state.hasEnded = false;
    return { part, state.convictions, time };
}

// Only an unknown conviction changes anything, so that entries that nodes pass on in circles do not prolong themselves.
bool quarantine_list::merge(const quarantine_entry& entry, monotonic_time now)
{
    auto& state = m_parts[entry.part];
    if (entry.convictions <= state.convictions)
        return false;
    state.convictions = entry.convictions;
    state.until = std::max(state.until, now + std::min<duration>(entry.remaining, maxQuarantine));
    state.hasEnded = false;
    return true;
}

bool quarantine_list::restore(part_hash part, unsigned convictions, monotonic_time now)
{
    return convictions > 0 && merge({ part, convictions, timeOf(convictions) }, now);
}

std::optional<duration> quarantine_list::remaining(part_hash part, monotonic_time now) const
{
    const auto found = m_parts.find(part);
    if (found == m_parts.end() || found->second.until <= now)
        return std::nullopt;
    return found->second.until - now;
}

unsigned quarantine_list::convictionsOf(part_hash part) const
{
    const auto found = m_parts.find(part);
    return found == m_parts.end() ? 0 : found->second.convictions;
}

std::vector<quarantine_entry> quarantine_list::inForce(monotonic_time now) const
{
    std::vector<quarantine_entry> entries;
    for (const auto& [part, state] : m_parts) {
        if (state.until > now)
            entries.push_back({ part, state.convictions, state.until - now });
    }
    return entries;
}

bool quarantine_list::hasRoom(monotonic_time now) const
{
    const auto count = std::ranges::count_if(m_parts, [now](const auto& entry) { return entry.second.until > now; });
    return static_cast<std::size_t>(count) < maxPartsInForce;
}

std::vector<part_hash> quarantine_list::takeEnded(monotonic_time now)
{
    std::vector<part_hash> ended;
    for (auto& [part, state] : m_parts) {
        if (state.until <= now && !std::exchange(state.hasEnded, true))
            ended.push_back(part);
    }
    return ended;
}

void quarantine_list::expire(monotonic_time now)
{
    std::erase_if(m_parts, [now](const auto& entry) { return now > entry.second.until + probationTime; });
}

} // namespace carawaylink::quarantine
