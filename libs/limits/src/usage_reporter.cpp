#include "limits/usage_reporter.h"

#include "base/time.h"

#include <algorithm>
#include <utility>

namespace carawaylink::limits {

namespace {

// Interval of reports while the use changes.
constexpr auto reportInterval = std::chrono::milliseconds(120);
// Interval of reports that only fetch what the others use: while this node uses a quota far from its limit, and after it last used one near
// its limit. In between, where the age of the totals decides by how much the limit may be exceeded, reportInterval applies.
constexpr auto activeInterval = std::chrono::milliseconds(300);
constexpr auto nearLimitInterval = std::chrono::milliseconds(600);
constexpr auto activeTime = std::chrono::seconds(2);
constexpr auto nearLimitTime = std::chrono::seconds(60);
// Fraction of the units of a window below which a team counts as near its limit.
constexpr double nearLimitFraction = 0.5;
// The rate of the others is averaged over this time.
constexpr auto peerAveragingTime = std::chrono::milliseconds(900);
// Over a shorter time a single large request would pass for a high rate.
constexpr auto minRateSpan = std::chrono::milliseconds(300);
// A rate older than this says nothing about the use since then.
constexpr auto maxRateAge = std::chrono::seconds(2);
constexpr auto replyTimeout = std::chrono::milliseconds(700);
// A collector that has counted for at most this much longer than the previous one has been silent is its successor.
constexpr auto successionMargin = std::chrono::seconds(1);

} // namespace

bool usage_reporter::isDue(const shared_quota& quota, monotonic_time now)
{
    if (!quota.isLimited())
        return false;
    if (quota.localUsage() != m_reportedUsed || quota.localReserved() > 0)
        m_lastUseAt = now;
    const auto elapsed = now - m_lastReportAt;
    if (m_isFirstReport)
        return true;
    if (quota.localUsage() != m_reportedUsed || quota.localReserved() != m_reportedReserved)
        return elapsed >= reportInterval;
    if (now - m_lastUseAt < activeTime || m_awaitingSince)
        return elapsed >= (m_isNearLimit ? reportInterval : activeInterval);
    return m_isNearLimit && now - m_lastUseAt < nearLimitTime && elapsed >= nearLimitInterval;
}

quota_use usage_reporter::takeReport(const node_id& collector, const shared_quota& quota, monotonic_time now)
{
    if (collector != m_collector) {
        m_collector = collector;
        m_awaitingSince.reset();
    }
    m_isFirstReport = false;
    m_lastReportAt = now;
    m_reportedUsed = quota.localUsage();
    m_reportedReserved = quota.localReserved();
    if (!m_awaitingSince)
        m_awaitingSince = now;
    return { m_reportedUsed, std::max(m_reportedUsed - m_confirmed, 0.0), m_reportedReserved };
}

void usage_reporter::receive(
    const node_id& collector, std::uint64_t run, const quota_total& total, double level, shared_quota& quota, monotonic_time now)
{
    if (collector != m_collector)
        return;
    const bool isKnown = m_lastReplyAt && m_collectorRun == run;
    const auto silence = m_lastReplyAt ? now - *m_lastReplyAt : duration {};
    m_awaitingSince.reset();
    m_confirmed = std::max(m_confirmed, total.confirmed);
    if (isKnown) {
        quota.addPeerUsage(std::max(total.othersUsed - m_othersUsed, 0.0), now);
    } else if (m_lastReplyAt ? total.counted <= silence + successionMargin : m_startsUnused) {
        // Everything that a new collector has counted is later than what its predecessor told this node.
        quota.addPeerUsage(total.othersUsed, now);
    } else if (m_lastReplyAt) {
        quota.setRemaining(level, now);
    }
    quota.addPeerReserved(total.othersReserved - std::exchange(m_othersReserved, total.othersReserved));
    if (!isKnown)
        m_recentTotals.clear();
    updatePeerRate(total.othersUsed, now);
    m_othersUsed = total.othersUsed;
    m_collectorRun = run;
    m_lastReplyAt = now;
    m_isNearLimit = quota.remaining(now) < nearLimitFraction * quota.unitsPerWindow();
}

void usage_reporter::updatePeerRate(double othersUsed, monotonic_time now)
{
    m_recentTotals.push_back({ now, othersUsed });
    while (now - m_recentTotals.front().time > peerAveragingTime)
        m_recentTotals.pop_front();
    const auto span = std::max<duration>(now - m_recentTotals.front().time, minRateSpan);
    m_peerUnitsPerSecond = (othersUsed - m_recentTotals.front().units) / inSeconds(span);
}

quota_nodes usage_reporter::nodes(std::size_t reporting, std::size_t possible, monotonic_time now) const
{
    if (!m_lastReplyAt || now - *m_lastReplyAt > maxRateAge)
        return { isConnected(now) ? reporting : 1, possible };
    const auto age = std::max<duration>(quota_nodes {}.reportAge, now - *m_lastReplyAt + reportInterval);
    return { isConnected(now) ? reporting : 1, possible, m_peerUnitsPerSecond, age };
}

bool usage_reporter::isConnected(monotonic_time now) const
{
    return !m_awaitingSince || now - *m_awaitingSince <= replyTimeout;
}

} // namespace carawaylink::limits
