#include "limits/shared_quota.h"

#include <algorithm>
#include <numeric>

namespace carawaylink::limits {

namespace {

constexpr int intervalsPerWindow = 64;
// A request larger than this part of the window is admitted once the window has that much room, since it would never fit otherwise.
constexpr double largestPart = 0.5;
// What a request leaves for more urgent ones, in multiples of its own size for each tier; so small requests leave little.
constexpr double reservePerTier = 60;
constexpr double largestTierReserve = 0.1;
// Part of the burst that may be used at once where the use before the start is unknown.
constexpr double restartFill = 0.25;
// What the peers used in this time is not reported yet; they are taken to use as much as this node.
constexpr auto reportDelay = std::chrono::milliseconds(300);
// Own use is averaged over this time, since a single large request says little of the peers.
constexpr auto rateSpan = 4 * reportDelay;

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

double sumOf(const auto& entries)
{
    return std::accumulate(entries.begin(), entries.end(), 0.0, [](double total, const auto& entry) { return total + entry.units; });
}

} // namespace

double quota_limit::unitsPerWindow() const
{
    return std::max(ratePerSecond * seconds(window) + burst, 1.0);
}

double quota_nodes::share() const
{
    return static_cast<double>(reporting) / static_cast<double>(std::max(possible, reporting));
}

shared_quota::shared_quota(const quota_limit& limit, monotonic_time now, bool startsUnused)
    : m_limit(limit)
{
    if (startsUnused)
        return;
    // The unknown use leaves the window at the rate, and the rest of the burst with the whole window.
    spread(m_limit.unitsPerWindow() - m_limit.burst, now);
    count((1 - restartFill) * m_limit.burst, now);
}

void shared_quota::configure(const quota_limit& limit, monotonic_time now)
{
    forget(now);
    const double factor = limit.unitsPerWindow() / m_limit.unitsPerWindow();
    for (auto& part : m_use)
        part.units *= std::min(factor, 1.0);
    m_limit = limit;
}

bool shared_quota::reserve(double units, tier level, const quota_nodes& nodes, monotonic_time now)
{
    if (!isLimited())
        return true;
    forget(now);
    const auto need = requirementFor(units, level, nodes, now);
    if (need.available < need.needed)
        return false;
    m_reserved += units;
    return true;
}

void shared_quota::commit(double units, monotonic_time now)
{
    if (!isLimited())
        return;
    release(units);
    count(units, now);
    m_recent.push_back({ now, units });
    m_usedHere += units;
}

void shared_quota::release(double units)
{
    m_reserved = std::max(m_reserved - units, 0.0);
}

void shared_quota::addPeerUsage(double units, monotonic_time now)
{
    count(units, now);
}

quota_requirement shared_quota::requirementFor(double units, tier level, const quota_nodes& nodes, monotonic_time now) const
{
    const double capacity = m_limit.unitsPerWindow() * nodes.share();
    return { needed(units, level, capacity), capacity - used() - m_reserved - m_peerReserved - unreported(nodes, now) };
}

duration shared_quota::timeUntilAvailable(double units, tier level, const quota_nodes& nodes, monotonic_time now) const
{
    const auto need = requirementFor(units, level, nodes, now);
    double missing = need.needed - need.available;
    for (const auto& part : m_use) {
        if (missing <= 0)
            break;
        missing -= part.units;
        if (missing <= 0)
            return std::max<duration>(part.start + intervalLength() + m_limit.window - now, duration {});
    }
    return missing > 0 ? m_limit.window : duration {};
}

void shared_quota::setRemaining(double units, monotonic_time now)
{
    m_use.clear();
    spread(std::clamp(m_limit.unitsPerWindow() - units, 0.0, m_limit.unitsPerWindow()), now);
}

double shared_quota::remaining(monotonic_time now) const
{
    const auto length = intervalLength();
    const double current = std::accumulate(m_use.begin(), m_use.end(), 0.0,
        [&](double total, const interval& part) { return part.start + length + m_limit.window > now ? total + part.units : total; });
    return m_limit.unitsPerWindow() - current - m_reserved - m_peerReserved;
}

void shared_quota::count(double units, monotonic_time now)
{
    if (m_use.empty() || now - m_use.back().start >= intervalLength())
        m_use.push_back({ now, 0 });
    m_use.back().units += units;
}

// An interval counts until its newest use is older than the window.
void shared_quota::forget(monotonic_time now)
{
    const auto length = intervalLength();
    while (!m_use.empty() && m_use.front().start + length + m_limit.window <= now)
        m_use.pop_front();
    while (!m_recent.empty() && now - m_recent.front().time > rateSpan)
        m_recent.pop_front();
}

// Use that happened evenly over the window before.
void shared_quota::spread(double units, monotonic_time now)
{
    for (int i = intervalsPerWindow; i > 0; --i)
        m_use.push_back({ now - i * intervalLength(), units / intervalsPerWindow });
}

double shared_quota::used() const
{
    return sumOf(m_use);
}

double shared_quota::unreported(const quota_nodes& nodes, monotonic_time now) const
{
    const double own = std::accumulate(m_recent.begin(), m_recent.end(), 0.0,
        [&](double total, const own_use& entry) { return now - entry.time > rateSpan ? total : total + entry.units; });
    return own * static_cast<double>(nodes.reporting - 1) * seconds(reportDelay) / seconds(rateSpan);
}

double shared_quota::needed(double units, tier level, double capacity) const
{
    const double reserve = std::min(units * reservePerTier * level.value, capacity * largestTierReserve);
    return std::min(units, capacity * largestPart) + reserve;
}

duration shared_quota::intervalLength() const
{
    return m_limit.window / intervalsPerWindow;
}

} // namespace carawaylink::limits
