#include "tier_queue.h"

#include <algorithm>

namespace carawaylink {

namespace {

/// Fewer values give a median that one request can move, and with it what counts as long.
constexpr std::size_t medianNeeds = 8;
constexpr double demandWindowSeconds = 30;
constexpr double riskDecay = 0.9;
/// Two to three run times of long requests, so that the outcome of the last attempt is known before the next one.
constexpr double riskWindowSeconds = 60;

} // namespace

flow::flow(team_record& ownerTeam, tier ownTier)
    : team(ownerTeam)
    , level(ownTier)
{
}

request_record* flow::first(bool longAllowed)
{
    auto* shortest = shortRequests.empty() ? nullptr : &*shortRequests.begin();
    if (!longAllowed || longRequests.empty())
        return shortest;
    auto* longest = &*longRequests.begin();
    return !shortest || deadline_order {}(*longest, *shortest) ? longest : shortest;
}

request_record* flow::last()
{
    auto* shortest = shortRequests.empty() ? nullptr : &*shortRequests.rbegin();
    if (longRequests.empty())
        return shortest;
    auto* longest = &*longRequests.rbegin();
    return !shortest || deadline_order {}(*shortest, *longest) ? longest : shortest;
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
    return m_sorted.size() < medianNeeds ? 0 : m_sorted[m_sorted.size() / 2];
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
    // Until the window is full, the sum covers less time than the time constant.
    const double covered = -std::expm1(-std::max(1.0, toSeconds(now - m_start)) / demandWindowSeconds);
    return decayed(now) / covered;
}

double recent_demand::decayed(monotonic_time now) const
{
    return now <= m_last ? m_demand : m_demand * std::exp(-toSeconds(now - m_last) / demandWindowSeconds);
}

void preemption_risk::add(monotonic_time now, bool preempted)
{
    m_share = at(now) * riskDecay + (preempted ? 1 - riskDecay : 0);
    m_last = now;
}

double preemption_risk::at(monotonic_time now) const
{
    return m_share * std::exp(-std::max(0.0, toSeconds(now - m_last)) / riskWindowSeconds);
}

void tier_queue::link(flow& self)
{
    if (!self.shortRequests.empty())
        m_shortFlows.insert(self);
    if (!self.longRequests.empty())
        m_longFlows.insert(self);
    if (!self.empty())
        m_activeWeight += self.team.weight;
}

void tier_queue::unlink(flow& self)
{
    if (!self.empty())
        m_activeWeight -= self.team.weight;
    if (self.shortHook.is_linked())
        m_shortFlows.erase(m_shortFlows.iterator_to(self));
    if (self.longHook.is_linked())
        m_longFlows.erase(m_longFlows.iterator_to(self));
}

void tier_queue::push(request_record& record, bool longAllowed)
{
    auto& self = *record.owner;
    if (self.empty()) {
        // A team that was idle gains no credit for the time. Teams whose long requests are held back are left out: their
        // virtual time stands still, and a newcomer starting there would be served alone until it caught up with the rest.
        double start = m_servedTime;
        if (!m_shortFlows.empty())
            start = m_shortFlows.begin()->virtualTime;
        if (longAllowed && !m_longFlows.empty())
            start = m_shortFlows.empty() ? m_longFlows.begin()->virtualTime : std::min(start, m_longFlows.begin()->virtualTime);
        self.virtualTime = std::max(self.virtualTime, start);
    }
    auto& requests = record.longRequest ? self.longRequests : self.shortRequests;
    if (requests.empty())
        update(self, [&] { requests.insert(record); });
    else
        requests.insert(record);
    ++m_size;
    self.work += record.work;
    m_work += record.work;
}

void tier_queue::remove(request_record& record)
{
    auto& self = *record.owner;
    auto& requests = record.longRequest ? self.longRequests : self.shortRequests;
    const auto position = requests.iterator_to(record);
    if (requests.size() == 1)
        update(self, [&] { requests.erase(position); });
    else
        requests.erase(position);
    --m_size;
    // Reset at zero, so that rounding errors of many additions do not accumulate.
    self.work = self.empty() ? 0 : std::max(0.0, self.work - record.work);
    m_work = m_size == 0 ? 0 : std::max(0.0, m_work - record.work);
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

void tier_queue::charge(flow& self, double costTokens)
{
    update(self, [&] { self.virtualTime += costTokens / self.team.weight; });
}

void tier_queue::serve(const flow& self)
{
    m_servedTime = std::max(m_servedTime, self.virtualTime);
}

bool tier_queue::shortTeamsAhead(double requests) const
{
    if (m_shortFlows.empty() || m_longFlows.empty())
        return false;
    const auto& longest = *m_longFlows.begin();
    const double credit = requests * longest.longRequests.begin()->charge / longest.team.weight;
    return m_shortFlows.begin()->virtualTime > longest.virtualTime + credit;
}

double tier_queue::workAhead(flow& self, monotonic_time deadline) const
{
    double own = 0;
    if (!self.empty()) {
        // The position among the deadlines of the team is interpolated between its first and its last one.
        const auto first = self.first(true)->request.deadline;
        const auto last = self.last()->request.deadline;
        const auto span = std::chrono::duration<double>(last - first).count();
        const auto offset = std::chrono::duration<double>(deadline - first).count();
        own = self.work * (span <= 0 ? (offset >= 0 ? 1.0 : 0.0) : std::clamp(offset / span, 0.0, 1.0));
    }
    const double others = m_activeWeight - (self.empty() ? 0 : self.team.weight);
    // While `own` is served, the other teams receive their shares, but never more than they have queued.
    return std::min(m_work, own + (own * others / self.team.weight));
}

} // namespace carawaylink
