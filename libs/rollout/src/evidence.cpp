#include "rollout/evidence.h"

#include "base/time.h"

#include <algorithm>
#include <cmath>

namespace carawaylink::rollout {

namespace {

constexpr auto sliceTime = std::chrono::milliseconds(500);
// Requests of one endpoint that are lost within this time were lost with one process.
constexpr auto sameLossTime = std::chrono::milliseconds(250);
// Requests at the other versions are compared for this long after a request to the target.
constexpr auto comparedTime = std::chrono::milliseconds(300);
// A request without first event counts once it has waited for this multiple of the usual time, and at least the minimum.
constexpr double unusualFactor = 2;
constexpr double minUnusualMs = 100;
// Shorter times are not told apart.
constexpr double minMs = 1;

} // namespace

void latency_summary::add(const latency_summary& other)
{
    endpoints += other.endpoints;
    samples += other.samples;
    meanSum += other.meanSum;
    meanSquares += other.meanSquares;
    deviationSquares += other.deviationSquares;
}

void route_counts::add(const route_counts& other)
{
    sent += other.sent;
    ended += other.ended;
    bad += other.bad;
    firstEvent.add(other.firstEvent);
    interval.add(other.interval);
}

void evidence::add(const evidence& other)
{
    for (const auto& [key, value] : other.counts)
        counts[key].add(value);
}

route_counts evidence::total(bool ofTarget) const
{
    route_counts sum;
    for (const auto& [key, value] : counts) {
        if (key.second == ofTarget)
            sum.add(value);
    }
    return sum;
}

route_counts evidence::of(route_hash route, bool ofTarget) const
{
    const auto found = counts.find({ route, ofTarget });
    return found == counts.end() ? route_counts {} : found->second;
}

void evidence_collector::samples::add(duration time)
{
    const double value = std::log(std::max(inMilliseconds(time), minMs));
    ++count;
    sum += value;
    squares += value * value;
}

void evidence_collector::samples::add(const samples& other)
{
    count += other.count;
    sum += other.sum;
    squares += other.squares;
}

void evidence_collector::samples::addTo(latency_summary& summary) const
{
    if (count == 0)
        return;
    const double mean = sum / count;
    ++summary.endpoints;
    summary.samples += count;
    summary.meanSum += mean;
    summary.meanSquares += mean * mean;
    summary.deviationSquares += std::max(squares - count * mean * mean, 0.0);
}

void evidence_collector::cell::add(const cell& other)
{
    sent += other.sent;
    ended += other.ended;
    bad += other.bad;
    firstEvent.add(other.firstEvent);
    interval.add(other.interval);
}

template <typename Change> void evidence_collector::change(const open_request& request, Change apply)
{
    if (!request.isCompared)
        return;
    apply(m_total[request.key]);
    apply(m_slices[0][request.key]);
    if (request.isFresh)
        apply(m_fresh[request.key]);
}

void evidence_collector::startSlice(monotonic_time now)
{
    if (now - m_sliceStartedAt < sliceTime)
        return;
    const bool isLatePrevious = now - m_sliceStartedAt >= 2 * sliceTime;
    m_slices[1] = isLatePrevious ? cells {} : std::move(m_slices[0]);
    m_slices[0].clear();
    m_sliceStartedAt = now;
}

void evidence_collector::sent(
    std::uint64_t id, route_hash route, const std::string& endpoint, bool isTarget, monotonic_time now, bool isCold)
{
    startSlice(now);
    ++m_requests;
    m_targetRequests += isTarget ? 1 : 0;
    if (isTarget)
        m_targetSentAt = now;
    const open_request request { { route, isTarget, endpoint }, now, now - m_targetSentAt < comparedTime, m_hasFresh, isCold, false };
    m_open.insert_or_assign(id, request);
    change(request, [](cell& counted) { ++counted.sent; });
}

void evidence_collector::firstEvent(std::uint64_t id, duration time)
{
    const auto found = m_open.find(id);
    if (found == m_open.end() || std::exchange(found->second.hasFirstEvent, true) || found->second.isCold)
        return;
    const auto& key = found->second.key;
    change(found->second, [time](cell& counted) { counted.firstEvent.add(time); });
    if (!std::get<bool>(key))
        m_usual[std::get<route_hash>(key)].add(time);
}

void evidence_collector::interval(std::uint64_t id, duration mean)
{
    const auto found = m_open.find(id);
    if (found != m_open.end() && !found->second.isCold)
        change(found->second, [mean](cell& counted) { counted.interval.add(mean); });
}

void evidence_collector::ended(std::uint64_t id, request_end end, monotonic_time now)
{
    startSlice(now);
    const auto found = m_open.find(id);
    if (found == m_open.end())
        return;
    const auto request = found->second;
    m_open.erase(found);
    const auto waited = now - request.sentAt;
    if (!request.hasFirstEvent && !request.isCold && end != request_end::lost && isUnusual(std::get<route_hash>(request.key), waited))
        change(request, [waited](cell& counted) { counted.firstEvent.add(waited); });
    if (end == request_end::neutral)
        return;
    bool isBad = end == request_end::bad;
    if (end == request_end::lost) {
        auto& last = m_lostAt[std::get<std::string>(request.key)];
        if (now - last < sameLossTime)
            return;
        last = now;
        isBad = true;
    }
    change(request, [isBad](cell& counted) {
        ++counted.ended;
        counted.bad += isBad ? 1 : 0;
    });
}

bool evidence_collector::isUnusual(route_hash route, duration time) const
{
    const auto usual = m_usual.find(route);
    if (usual == m_usual.end())
        return false;
    const double typicalMs = std::exp(usual->second.sum / usual->second.count);
    return inMilliseconds(time) > std::max(unusualFactor * typicalMs, minUnusualMs);
}

void evidence_collector::startFresh()
{
    m_fresh.clear();
    m_hasFresh = true;
    for (auto& [id, request] : m_open)
        request.isFresh = false;
}

evidence evidence_collector::fresh(monotonic_time now) const
{
    return summarize(m_fresh, now, true);
}

evidence evidence_collector::recent(monotonic_time now) const
{
    cells both;
    const auto age = now - m_sliceStartedAt;
    for (std::size_t i = 0; i < m_slices.size(); ++i) {
        if (age >= static_cast<int>(m_slices.size() - i) * sliceTime)
            continue;
        for (const auto& [key, counted] : m_slices[i])
            both[key].add(counted);
    }
    return summarize(std::move(both), now);
}

evidence evidence_collector::summarize(cells given, monotonic_time now, bool isFreshOnly) const
{
    for (const auto& [id, request] : m_open) {
        const auto waited = now - request.sentAt;
        if (request.isCompared && !request.isCold && (request.isFresh || !isFreshOnly) && !request.hasFirstEvent
            && isUnusual(std::get<route_hash>(request.key), waited))
            given[request.key].firstEvent.add(waited);
    }
    evidence result;
    for (const auto& [key, counted] : given) {
        auto& counts = result.counts[{ std::get<route_hash>(key), std::get<bool>(key) }];
        counts.sent += counted.sent;
        counts.ended += counted.ended;
        counts.bad += counted.bad;
        counted.firstEvent.addTo(counts.firstEvent);
        counted.interval.addTo(counts.interval);
    }
    return result;
}

} // namespace carawaylink::rollout
