#include "tier_queue.h"

#include <algorithm>

namespace carawaylink {

namespace {

/// With fewer values, a single request can shift the median and thereby change which requests count as long.
constexpr std::size_t minMedianSamples = 8;
constexpr double demandWindowSeconds = 30;
constexpr double riskSampleDecay = 0.9;
/// Two to three run times of long requests, so that the outcome of one attempt is known before the next.
constexpr double riskWindowSeconds = 60;

} // namespace

flow::flow(team_record& owningTeam, tier ownLevel)
    : team(owningTeam)
    , level(ownLevel)
{
}

request_record* flow::first(bool longAllowed)
{
    auto* firstShort = shortRequests.empty() ? nullptr : &*shortRequests.begin();
    if (!longAllowed || longRequests.empty())
        return firstShort;
    auto* firstLong = &*longRequests.begin();
    return !firstShort || deadline_order {}(*firstLong, *firstShort) ? firstLong : firstShort;
}

request_record* flow::last()
{
    auto* firstShort = shortRequests.empty() ? nullptr : &*shortRequests.rbegin();
    if (longRequests.empty())
        return firstShort;
    auto* firstLong = &*longRequests.rbegin();
    return !firstShort || deadline_order {}(*firstShort, *firstLong) ? firstLong : firstShort;
}

void running_median::add(double value)
{
    if (m_recent.size() < window) {
        m_recent.push_back(value);
    } else {
        m_sorted.erase(std::ranges::lower_bound(m_sorted, m_recent[m_next]));
        m_recent[m_next] = value;
        m_next = (m_next + 1) % window;
    }
    m_sorted.insert(std::ranges::upper_bound(m_sorted, value), value);
}

double running_median::value() const
{
    return m_sorted.size() < minMedianSamples ? 0 : m_sorted[m_sorted.size() / 2];
}

void recent_demand::add(monotonic_time now, double seconds)
{
    if (m_start == monotonic_time {})
        m_start = now;
    m_demand = decayed(now) + seconds / demandWindowSeconds;
    m_last = std::max(m_last, now);
}

double recent_demand::at(monotonic_time now) const
{
    if (m_demand <= 0)
        return 0;
    // Corrects for the time since the first sample being shorter than the time constant.
    const double covered = -std::expm1(-std::max(1.0, toSeconds(now - m_start)) / demandWindowSeconds);
    return decayed(now) / covered;
}

double recent_demand::decayed(monotonic_time now) const
{
    return now <= m_last ? m_demand : m_demand * std::exp(-toSeconds(now - m_last) / demandWindowSeconds);
}

void preemption_risk::add(monotonic_time now, bool preempted)
{
    m_share = at(now) * riskSampleDecay + (preempted ? 1 - riskSampleDecay : 0);
    m_last = now;
}

double preemption_risk::at(monotonic_time now) const
{
    return m_share * std::exp(-std::max(0.0, toSeconds(now - m_last)) / riskWindowSeconds);
}

void tier_queue::link(flow& teamFlow)
{
    if (!teamFlow.shortRequests.empty())
        m_shortFlows.insert(teamFlow);
    if (!teamFlow.longRequests.empty())
        m_longFlows.insert(teamFlow);
    if (!teamFlow.empty())
        m_activeWeight += teamFlow.team.weight;
}

void tier_queue::unlink(flow& teamFlow)
{
    if (!teamFlow.empty())
        m_activeWeight -= teamFlow.team.weight;
    if (teamFlow.shortHook.is_linked())
        m_shortFlows.erase(m_shortFlows.iterator_to(teamFlow));
    if (teamFlow.longHook.is_linked())
        m_longFlows.erase(m_longFlows.iterator_to(teamFlow));
}

void tier_queue::push(request_record& record, bool longAllowed)
{
    auto& teamFlow = *record.teamFlow;
    if (teamFlow.empty()) {
        // A team gains no credit for time in which it was idle. Teams whose long requests are held back are left out: their virtual
        // time does not advance, and a team starting from it would be served exclusively until it caught up with the others.
        double start = m_servedVirtualTime;
        if (!m_shortFlows.empty())
            start = m_shortFlows.begin()->virtualTime;
        if (longAllowed && !m_longFlows.empty())
            start = m_shortFlows.empty() ? m_longFlows.begin()->virtualTime : std::min(start, m_longFlows.begin()->virtualTime);
        teamFlow.virtualTime = std::max(teamFlow.virtualTime, start);
    }
    auto& requests = record.longRequest ? teamFlow.longRequests : teamFlow.shortRequests;
    if (requests.empty())
        update(teamFlow, [&] { requests.insert(record); });
    else
        requests.insert(record);
    ++m_size;
    teamFlow.workSeconds += record.workSeconds;
    m_workSeconds += record.workSeconds;
}

void tier_queue::remove(request_record& record)
{
    auto& teamFlow = *record.teamFlow;
    auto& requests = record.longRequest ? teamFlow.longRequests : teamFlow.shortRequests;
    const auto position = requests.iterator_to(record);
    if (requests.size() == 1)
        update(teamFlow, [&] { requests.erase(position); });
    else
        requests.erase(position);
    --m_size;
    // Reset when empty, so that rounding errors do not accumulate.
    teamFlow.workSeconds = teamFlow.empty() ? 0 : std::max(0.0, teamFlow.workSeconds - record.workSeconds);
    m_workSeconds = m_size == 0 ? 0 : std::max(0.0, m_workSeconds - record.workSeconds);
    if (m_size == 0)
        m_activeWeight = 0;
}

request_record* tier_queue::next(bool longAllowed)
{
    flow* best = m_shortFlows.empty() ? nullptr : &*m_shortFlows.begin();
    if (longAllowed && !m_longFlows.empty() && (!best || m_longFlows.begin()->virtualTime < best->virtualTime))
        best = &*m_longFlows.begin();
    return best ? best->first(longAllowed) : nullptr;
}

request_record* tier_queue::last()
{
    flow* worst = m_shortFlows.empty() ? nullptr : &*m_shortFlows.rbegin();
    if (!m_longFlows.empty() && (!worst || m_longFlows.rbegin()->virtualTime > worst->virtualTime))
        worst = &*m_longFlows.rbegin();
    return worst ? worst->last() : nullptr;
}

void tier_queue::charge(flow& teamFlow, double costTokens)
{
    update(teamFlow, [&] { teamFlow.virtualTime += costTokens / teamFlow.team.weight; });
}

void tier_queue::serve(const flow& teamFlow)
{
    m_servedVirtualTime = std::max(m_servedVirtualTime, teamFlow.virtualTime);
}

bool tier_queue::shortTeamsAhead(double requests) const
{
    if (m_shortFlows.empty() || m_longFlows.empty())
        return false;
    const auto& firstLong = *m_longFlows.begin();
    const double credit = requests * firstLong.longRequests.begin()->chargeTokens / firstLong.team.weight;
    return m_shortFlows.begin()->virtualTime > firstLong.virtualTime + credit;
}

double tier_queue::workSecondsAhead(flow& teamFlow, monotonic_time deadline) const
{
    double own = 0;
    if (!teamFlow.empty()) {
        // The position in the queue of the team is interpolated between its first and last deadline.
        const auto first = teamFlow.first(true)->request.deadline;
        const auto last = teamFlow.last()->request.deadline;
        const auto span = std::chrono::duration<double>(last - first).count();
        const auto offset = std::chrono::duration<double>(deadline - first).count();
        own = teamFlow.workSeconds * (span <= 0 ? (offset >= 0 ? 1.0 : 0.0) : std::clamp(offset / span, 0.0, 1.0));
    }
    const double others = m_activeWeight - (teamFlow.empty() ? 0 : teamFlow.team.weight);
    // While `own` is served, the other teams receive their shares, but no more than they have queued.
    return std::min(m_workSeconds, own + (own * others / teamFlow.team.weight));
}

} // namespace carawaylink
