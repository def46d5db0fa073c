#include "quarantine/quarantine_list.h"

#include <algorithm>
#include <utility>

namespace carawaylink::quarantine {

namespace {

constexpr auto initialQuarantine = std::chrono::seconds(60);
constexpr auto maxQuarantine = std::chrono::hours(1);
constexpr unsigned maxDoublings = 6;
// A part that nobody asks for is on probation for this long; one that a probe released is quarantined by its next crash meanwhile.
constexpr auto observationTime = std::chrono::minutes(30);
// More than this would rather be a fault of the endpoints than of so many prompts.
constexpr std::size_t maxPartsInForce = 64;
// Bounds what nodes pass on every second.
constexpr std::size_t maxPartsOnProbation = 64;
// Shorter than the observation time, so that no node learns a part anew from one that forgets it a little later.
constexpr auto passOnTime = observationTime - std::chrono::minutes(1);

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
    state.isReleased = false;
    return { part, state.times, time };
}

// Only a time that is not known yet changes anything, so that entries that nodes pass on in circles do not prolong themselves.
bool quarantine_list::merge(const quarantine_entry& entry, monotonic_time now)
{
    auto& state = m_parts[entry.part];
    if (entry.times <= state.times)
        return false;
    state.times = entry.times;
    const auto until = entry.remaining > duration {} ? now + std::min<duration>(entry.remaining, maxQuarantine) : now - entry.idle;
    state.until = std::max(state.until, until);
    state.hasEnded = false;
    state.isReleased = false;
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

bool quarantine_list::isOnProbation(part_hash part, monotonic_time now) const
{
    const auto found = m_parts.find(part);
    return found != m_parts.end() && found->second.isOnProbation(now);
}

void quarantine_list::recordDemand(part_hash part, monotonic_time now)
{
    if (const auto found = m_parts.find(part); found != m_parts.end())
        found->second.lastDemand = now;
}

// Also of a part that is not known yet, since a node that has missed the answer may still pass on its entry.
bool quarantine_list::release(part_hash part, unsigned times, monotonic_time now)
{
    auto& state = m_parts[part];
    if (times < state.times || state.isReleased)
        return false;
    state = { times, std::min(state.until, now), now, true, true };
    return true;
}

std::vector<quarantine_entry> quarantine_list::held(monotonic_time now) const
{
    std::vector<quarantine_entry> entries;
    for (const auto& [part, state] : m_parts) {
        if (state.until > now)
            entries.push_back({ part, state.times, state.until - now, {} });
        else if (state.isOnProbation(now) && now - state.lastUse() < passOnTime)
            entries.push_back({ part, state.times, {}, now - state.lastUse() });
    }
    return entries;
}

std::size_t quarantine_list::sizeOnProbation(monotonic_time now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_parts, [now](const auto& entry) { return entry.second.isOnProbation(now); }));
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
        if (state.isOnProbation(now) && !std::exchange(state.hasEnded, true))
            ended.push_back(part);
    }
    return ended;
}

std::vector<part_hash> quarantine_list::expire(monotonic_time now)
{
    std::vector<std::pair<monotonic_time, part_hash>> onProbation;
    for (const auto& [part, state] : m_parts) {
        if (state.isOnProbation(now))
            onProbation.emplace_back(state.lastUse(), part);
    }
    std::ranges::sort(onProbation, std::ranges::greater());
    const auto isKept = [&](std::size_t index) { return index < maxPartsOnProbation && now <= onProbation[index].first + observationTime; };
    std::vector<part_hash> forgotten;
    for (std::size_t i = 0; i < onProbation.size(); ++i) {
        if (isKept(i))
            continue;
        forgotten.push_back(onProbation[i].second);
        m_parts.erase(onProbation[i].second);
    }
    std::erase_if(m_parts, [now](const auto& entry) { return now > entry.second.lastUse() + observationTime; });
    return forgotten;
}

} // namespace carawaylink::quarantine
