#include "placement/tier_floor.h"

#include "base/time.h"

#include <algorithm>

namespace carawaylink::placement {

namespace {

constexpr auto window = std::chrono::seconds(10);
// Resolution of the window.
constexpr auto intervalLength = std::chrono::milliseconds(500);
// Strict priority is right for a short burst, which the more urgent ranks leave to the others afterwards.
constexpr auto minOverloadTime = std::chrono::seconds(2);
// An overload goes on while the queue is empty for a shorter time: single slots become free before the next request arrives.
constexpr auto maxQueueGap = std::chrono::milliseconds(500);

std::int64_t intervalOf(monotonic_time time)
{
    return time.time_since_epoch() / intervalLength;
}

} // namespace

void tier_floor::counts::add(const counts& other, int sign)
{
    arrived += sign * other.arrived;
    started += sign * other.started;
    starts += sign * other.starts;
    floorStarts += sign * other.floorStarts;
    slotTime += sign * other.slotTime;
    floorSlotTime += sign * other.floorSlotTime;
}

void tier_floor::recordArrival(const urgency& rank, monotonic_time now)
{
    add(rank, { .arrived = 1 }, now);
}

void tier_floor::recordWithdrawal(const urgency& rank, monotonic_time countedAt)
{
    const auto found = std::ranges::find(m_intervals, intervalOf(countedAt), &interval::number);
    if (found == m_intervals.end())
        return;
    const counts change { .arrived = 1 };
    found->ranks[rank].add(change, -1);
    m_ranks[rank].add(change, -1);
    m_total.add(change, -1);
}

void tier_floor::recordStart(const urgency& rank, duration slotTime, bool isByFloor, bool isCounted, monotonic_time now)
{
    add(rank,
        { .started = isCounted ? 1 : 0,
            .starts = 1,
            .floorStarts = isByFloor ? 1 : 0,
            .slotTime = slotTime,
            .floorSlotTime = isByFloor ? slotTime : duration {} },
        now);
}

void tier_floor::recordQueue(bool hasQueue, monotonic_time now)
{
    expire(intervalOf(now));
    if (m_overloadedSince && now - m_lastQueueAt > maxQueueGap)
        m_overloadedSince.reset();
    if (!hasQueue)
        return;
    m_lastQueueAt = now;
    if (!m_overloadedSince)
        m_overloadedSince = now;
}

void tier_floor::add(const urgency& rank, const counts& change, monotonic_time now)
{
    const auto current = intervalOf(now);
    expire(current);
    if (m_intervals.empty() || m_intervals.back().number < current)
        m_intervals.push_back({ current, {} });
    m_intervals.back().ranks[rank].add(change, 1);
    m_ranks[rank].add(change, 1);
    m_total.add(change, 1);
}

void tier_floor::expire(std::int64_t current)
{
    while (!m_intervals.empty() && m_intervals.front().number + window / intervalLength <= current) {
        for (const auto& [rank, expired] : m_intervals.front().ranks) {
            m_ranks[rank].add(expired, -1);
            m_total.add(expired, -1);
        }
        m_intervals.pop_front();
    }
}

const tier_floor::counts* tier_floor::moreUrgent(const urgency& rank) const
{
    const counts* nearest = nullptr;
    for (auto entry = m_ranks.begin(); entry != m_ranks.end() && entry->first < rank; ++entry) {
        if (entry->second.arrived > 0)
            nearest = &entry->second;
    }
    return nearest;
}

duration tier_floor::meanSlotTime(const counts& rank) const
{
    return rank.starts == 0 ? duration {} : rank.slotTime / rank.starts;
}

// A rank is never brought above the next more urgent one, so that the order of the shares stays the order of the tiers.
bool tier_floor::isBelow(const urgency& rank, monotonic_time now) const
{
    if (!m_overloadedSince || now - *m_overloadedSince < minOverloadTime)
        return false;
    const auto found = m_ranks.find(rank);
    const auto* next = moreUrgent(rank);
    if (found == m_ranks.end() || found->second.arrived <= 0 || !next)
        return false;
    const auto& own = found->second;
    const double shareAfterStart = static_cast<double>(own.started + 1) / static_cast<double>(own.arrived);
    return own.share() < minShareFraction * m_total.share() && shareAfterStart <= next->share();
}

bool tier_floor::mayStart(const urgency& rank, monotonic_time now) const
{
    if (!isBelow(rank, now))
        return false;
    const auto slotTime = meanSlotTime(m_ranks.at(rank));
    const bool keepsSlotTime
        = inMilliseconds(m_total.floorSlotTime + slotTime) <= maxSlotTimeFraction * inMilliseconds(m_total.slotTime + slotTime);
    return keepsSlotTime && static_cast<double>(m_total.floorStarts + 1) <= maxStartFraction * static_cast<double>(m_total.starts + 1);
}

double tier_floor::startRate(const urgency& rank, monotonic_time now) const
{
    if (!isBelow(rank, now) || m_intervals.empty())
        return 0;
    const auto& own = m_ranks.at(rank);
    const double seconds
        = inSeconds(std::max<duration>(intervalLength, now.time_since_epoch() - m_intervals.front().number * intervalLength));
    const double entitled = minShareFraction * m_total.share() * static_cast<double>(own.arrived);
    const double bySlotTime = own.slotTime > duration {}
        ? maxSlotTimeFraction * inMilliseconds(m_total.slotTime) / inMilliseconds(meanSlotTime(own))
        : entitled;
    return std::min({ entitled, bySlotTime, maxStartFraction * static_cast<double>(m_total.starts) }) / seconds;
}

} // namespace carawaylink::placement
