#include "quarantine/quarantine_list.h"

#include <algorithm>
#include <utility>

namespace carawaylink::quarantine {

namespace {

constexpr auto initialQuarantine = std::chrono::seconds(60);
constexpr auto maxQuarantine = std::chrono::hours(1);
constexpr unsigned maxDoublings = 6;
// A part that crashes endpoints again within this time is quarantined by its first crash.
constexpr auto observationTime = std::chrono::minutes(30);
// More than this would rather be a fault of the endpoints than of so many prompts.
constexpr std::size_t maxPartsInForce = 64;

// times: how often the part was quarantined, 1 or more.
duration timeOf(unsigned times)
{
    return std::min<duration>(initialQuarantine * (1U << std::min(times - 1, maxDoublings)), maxQuarantine);
}

} // namespace

quarantine_entry quarantine_list::quarantine(part_hash part, monotonic_time now)
{
    auto& state = m_parts[part];
    const auto time = timeOf(++state.times);
    state.until = now + time;
    state.hasEnded = false;
    return { part, state.times, time };
}

// Only a time that is not known yet changes anything, so that entries that nodes pass on in circles do not prolong themselves.
bool quarantine_list::merge(const quarantine_entry& entry, monotonic_time now)
{
    auto& state = m_parts[entry.part];
    if (entry.times <= state.times)
        return false;
    state.times = entry.times;
    state.until = std::max(state.until, now + std::min<duration>(entry.remaining, maxQuarantine));
    state.hasEnded = false;
    return true;
}

bool quarantine_list::restore(part_hash part, unsigned times, monotonic_time now)
{
    return times > 0 && merge({ part, times, timeOf(times) }, now);
}

std::optional<duration> quarantine_list::remaining(part_hash part, monotonic_time now) const
{
    const auto found = m_parts.find(part);
    if (found == m_parts.end() || found->second.until <= now)
        return std::nullopt;
    return found->second.until - now;
}

unsigned quarantine_list::timesOf(part_hash part) const
{
    const auto found = m_parts.find(part);
    return found == m_parts.end() ? 0 : found->second.times;
}

std::vector<quarantine_entry> quarantine_list::inForce(monotonic_time now) const
{
    std::vector<quarantine_entry> entries;
    for (const auto& [part, state] : m_parts) {
        if (state.until > now)
            entries.push_back({ part, state.times, state.until - now });
    }
    return entries;
}

std::size_t quarantine_list::sizeInForce(monotonic_time now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_parts, [now](const auto& entry) { return entry.second.until > now; }));
}

bool quarantine_list::hasRoom(monotonic_time now) const
{
    return sizeInForce(now) < maxPartsInForce;
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
    std::erase_if(m_parts, [now](const auto& entry) { return now > entry.second.until + observationTime; });
}

} // namespace carawaylink::quarantine
