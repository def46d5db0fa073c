#include "limits/shared_quota.h"

#include "base/time.h"

#include <algorithm>
#include <numeric>

namespace carawaylink::limits {

namespace {

constexpr int intervalsPerWindow = 64;
// A request larger than this fraction of the window is admitted once this fraction is free, since it could never fit otherwise.
constexpr double maxRequestFraction = 0.5;
// Units reserved for more urgent requests, as a multiple of the request's size per tier, so that small requests need only a small reserve.
constexpr double reserveFactorPerTier = 60;
constexpr double maxReserveFraction = 0.1;
// Usage that is ahead of an even one by less than this fraction of the window is left to the overrun that is tolerated.
constexpr double evenUsageMargin = 0.1;
// Fraction of the burst that is available immediately after a restart, when the usage before it is unknown.
constexpr double initialBurstFraction = 0.25;
// Own usage is averaged over this time, since a single large request says little about the usage of peers.
constexpr auto usageAveragingTime = std::chrono::milliseconds(1200);

} // namespace

double quota_limit::unitsPerWindow() const
{
    return std::max(ratePerSecond * inSeconds(window) + burst, 1.0);
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
    // Assumes that the rate's part of the window was used evenly, so that it expires gradually; most of the burst counts as used now and
    // expires with the whole window.
    distributeOverWindow(m_limit.unitsPerWindow() - m_limit.burst, m_limit.unitsPerWindow(), now);
    addUsage((1 - initialBurstFraction) * m_limit.burst, now, true);
}

void shared_quota::configure(const quota_limit& limit, monotonic_time now)
{
    expireOldUsage(now);
    m_limit = limit;
}

bool shared_quota::reserve(double units, tier level, const quota_nodes& nodes, monotonic_time now)
{
    if (!isLimited())
        return true;
    expireOldUsage(now);
    const auto need = requirementFor(units, level, nodes, now);
    if (need.availableUnits < need.requiredUnits)
        return false;
    m_reserved += units;
    return true;
}

void shared_quota::commit(double units, monotonic_time now)
{
    if (!isLimited())
        return;
    release(units);
    addUsage(units, now);
    m_recentUsage.push_back({ now, units });
    m_localUsage += units;
}

void shared_quota::release(double units)
{
    m_reserved = std::max(m_reserved - units, 0.0);
}

void shared_quota::addPeerUsage(double units, monotonic_time now)
{
    expireOldUsage(now);
    addUsage(units, now);
}

quota_requirement shared_quota::requirementFor(double units, tier level, const quota_nodes& nodes, monotonic_time now) const
{
    const double capacity = m_limit.unitsPerWindow() * nodes.share();
    return { requiredUnits(units, level, capacity),
        capacity - used(nodes.share()) - m_reserved - m_peerReserved - estimatedUnreportedUsage(nodes, now) };
}

duration shared_quota::timeUntilAvailable(double units, tier level, const quota_nodes& nodes, monotonic_time now) const
{
    const auto need = requirementFor(units, level, nodes, now);
    double shortfall = need.requiredUnits - need.availableUnits;
    for (const auto& part : m_intervals) {
        if (shortfall <= 0)
            break;
        shortfall -= countedUnits(part, nodes.share());
        if (shortfall <= 0)
            return std::max<duration>(part.start + intervalLength() + m_limit.window - now, duration {});
    }
    return shortfall > 0 ? m_limit.window : duration {};
}

void shared_quota::setRemaining(double units, monotonic_time now)
{
    // If the limit was lowered within the window, the peer's figure is in units of the lower limit; the same share of the higher one was
    // used.
    const double limit = std::accumulate(m_intervals.begin(), m_intervals.end(), m_limit.unitsPerWindow(),
        [](double highest, const interval& part) { return std::max(highest, part.limit); });
    const double usedShare = std::clamp(1 - units / m_limit.unitsPerWindow(), 0.0, 1.0);
    m_intervals.clear();
    distributeOverWindow(usedShare * limit, limit, now);
}

void shared_quota::assumeUsedAt(double units, monotonic_time time)
{
    std::erase_if(m_intervals, [time](const interval& part) { return part.start <= time; });
    m_intervals.push_front({ time, units, m_limit.unitsPerWindow(), true });
}

// What was used in any span up to now and what a restarted fleet grants in the rest of the window add up to at most the limit if the usage
// of each span is at most its share of the window.
bool shared_quota::isAheadOfEvenUsage(monotonic_time now) const
{
    const double limit = m_limit.unitsPerWindow();
    double units = 0;
    return std::any_of(m_intervals.rbegin(), m_intervals.rend(), [&](const interval& part) {
        const auto age = now - part.start;
        units += countedUnits(part);
        return age <= m_limit.window && units > limit * (inSeconds(age) / inSeconds(m_limit.window) + evenUsageMargin);
    });
}

double shared_quota::remaining(monotonic_time now) const
{
    const auto length = intervalLength();
    const double current = std::accumulate(m_intervals.begin(), m_intervals.end(), 0.0, [&](double total, const interval& part) {
        return part.start + length + m_limit.window > now ? total + countedUnits(part) : total;
    });
    return m_limit.unitsPerWindow() - current - m_reserved - m_peerReserved;
}

void shared_quota::addUsage(double units, monotonic_time now, bool isAssumed)
{
    const double limit = m_limit.unitsPerWindow();
    if (m_intervals.empty() || now - m_intervals.back().start >= intervalLength() || m_intervals.back().limit != limit
        || m_intervals.back().isAssumed != isAssumed)
        m_intervals.push_back({ now, 0, limit, isAssumed });
    m_intervals.back().units += units;
}

// An interval counts until its latest possible usage is older than the window.
void shared_quota::expireOldUsage(monotonic_time now)
{
    const auto length = intervalLength();
    while (!m_intervals.empty() && m_intervals.front().start + length + m_limit.window <= now)
        m_intervals.pop_front();
    while (!m_recentUsage.empty() && now - m_recentUsage.front().time > usageAveragingTime)
        m_recentUsage.pop_front();
}

// Distributes usage evenly over the past window.
void shared_quota::distributeOverWindow(double units, double limit, monotonic_time now)
{
    for (int i = intervalsPerWindow; i > 0; --i)
        m_intervals.push_back({ now - i * intervalLength(), units / intervalsPerWindow, limit, true });
}

// The usage itself stays as it was: scaled down for good, it granted nearly a whole quota again once the limit was raised.
double shared_quota::countedUnits(const interval& part) const
{
    return part.units * std::min(m_limit.unitsPerWindow() / part.limit, 1.0);
}

// Nodes that do not hear from each other divide what the assumed usage leaves. Taken in full from a share, it left nothing at all: at a
// start of all nodes, which hear from few at first, each refused everything.
double shared_quota::countedUnits(const interval& part, double share) const
{
    return countedUnits(part) * (part.isAssumed ? share : 1);
}

double shared_quota::used(double share) const
{
    return std::accumulate(
        m_intervals.begin(), m_intervals.end(), 0.0, [&](double total, const interval& part) { return total + countedUnits(part, share); });
}

// Peers are assumed to use as much as this node, or as they last reported.
double shared_quota::estimatedUnreportedUsage(const quota_nodes& nodes, monotonic_time now) const
{
    const double own = std::accumulate(m_recentUsage.begin(), m_recentUsage.end(), 0.0,
        [&](double total, const timed_usage& entry) { return now - entry.time > usageAveragingTime ? total : total + entry.units; });
    const double ownUnitsPerSecond = own / inSeconds(usageAveragingTime);
    const double likeThisNode = ownUnitsPerSecond * static_cast<double>(nodes.reporting - 1);
    return std::max(likeThisNode, nodes.peerUnitsPerSecond) * inSeconds(nodes.reportAge);
}

double shared_quota::requiredUnits(double units, tier level, double capacity) const
{
    const double reserve = std::min(units * reserveFactorPerTier * level.value, capacity * maxReserveFraction);
    return std::min(units, capacity * maxRequestFraction) + reserve;
}

duration shared_quota::intervalLength() const
{
    return m_limit.window / intervalsPerWindow;
}

} // namespace carawaylink::limits
