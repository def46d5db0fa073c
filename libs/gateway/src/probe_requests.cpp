#include "probe_requests.h"

#include <algorithm>
#include <utility>

namespace carawaylink::gateway {

namespace {

using quarantine::part_hash;

// The node in charge replies within a round trip, unless it is lost or knows no probes.
constexpr auto replyTime = std::chrono::milliseconds(500);

bool contains(const probe_requests::parts& all, part_hash part)
{
    return std::ranges::find(all, part) != all.end();
}

} // namespace

probe_requests::probe_requests(part_message ask, part_message end)
    : m_ask(std::move(ask))
    , m_end(std::move(end))
{
}

bool probe_requests::ask(std::uint64_t request, parts probed, duration interval, monotonic_time now)
{
    std::erase_if(m_nextAskAt, [now](const auto& entry) { return entry.second <= now; });
    const auto mustWait = [&](part_hash part) {
        return m_nextAskAt.contains(part)
            || std::ranges::any_of(m_probes, [part](const auto& entry) { return contains(entry.second.probed, part); });
    };
    if (std::ranges::any_of(probed, mustWait))
        return false;
    const auto first = probed.front();
    for (const auto part : probed)
        m_nextAskAt[part] = now + interval;
    m_probes.emplace(request, probe { std::move(probed), 0, now + replyTime });
    m_ask(first);
    return true;
}

void probe_requests::grant(part_hash part)
{
    const auto asking = findAsking(part);
    if (asking == m_probes.end()) {
        // Its request was refused when the reply was late.
        if (std::ranges::none_of(m_probes, [part](const auto& entry) { return contains(entry.second.probed, part); }))
            m_end(part);
        return;
    }
    auto& granted = asking->second;
    if (++granted.granted < granted.probed.size())
        m_ask(granted.probed[granted.granted]);
    else
        m_onDecided(asking->first, true);
}

void probe_requests::refuse(part_hash part, duration interval, monotonic_time now)
{
    if (const auto asking = findAsking(part); asking != m_probes.end())
        refuse(asking, interval, now);
}

void probe_requests::tick(duration interval, monotonic_time now)
{
    const auto isLate = [now](const auto& entry) { return entry.second.isAsking() && now >= entry.second.replyUntil; };
    for (auto late = std::ranges::find_if(m_probes, isLate); late != m_probes.end(); late = std::ranges::find_if(m_probes, isLate))
        refuse(late, interval, now);
}

void probe_requests::end(std::uint64_t request)
{
    const auto ended = m_probes.extract(request);
    if (ended)
        std::ranges::for_each(ended.mapped().probed, m_end);
}

probe_requests::parts probe_requests::takeAnswered(std::uint64_t request)
{
    const auto answered = m_probes.extract(request);
    return answered ? std::move(answered.mapped().probed) : parts {};
}

probe_requests::probe_map::iterator probe_requests::findAsking(part_hash part)
{
    return std::ranges::find_if(
        m_probes, [part](const auto& entry) { return entry.second.isAsking() && entry.second.probed[entry.second.granted] == part; });
}

void probe_requests::refuse(probe_map::iterator refused, duration interval, monotonic_time now)
{
    const auto request = refused->first;
    const auto ended = std::move(refused->second);
    m_probes.erase(refused);
    m_nextAskAt[ended.probed[ended.granted]] = now + interval;
    std::for_each_n(ended.probed.begin(), ended.granted, m_end);
    m_onDecided(request, false);
}

} // namespace carawaylink::gateway
