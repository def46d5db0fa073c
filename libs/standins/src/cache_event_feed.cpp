#include "standins/cache_event_feed.h"

#include <algorithm>

namespace carawaylink {

cache_event_feed::cache_event_feed(std::size_t capacity)
    : m_capacity(capacity)
{
}

void cache_event_feed::record(monotonic_time at, std::uint64_t hash, bool stored, bool lost)
{
    const auto sequence = m_next++;
    if (lost)
        return;
    m_entries.push_back({ { sequence, hash, stored }, at });
    if (m_entries.size() > m_capacity)
        m_entries.pop_front();
}

cache_event_feed::page cache_event_feed::read(monotonic_time now, std::uint64_t from, std::size_t limit, duration delay) const
{
    page result { std::min(from, m_next), {} };
    for (auto position = firstFrom(from); position != m_entries.end(); ++position) {
        if (position->at + delay > now || result.events.size() == limit)
            break;
        result.events.push_back(position->event);
        result.next = position->event.sequence + 1;
    }
    return result;
}

std::optional<monotonic_time> cache_event_feed::visibleAt(std::uint64_t from, duration delay) const
{
    const auto position = firstFrom(from);
    return position == m_entries.end() ? std::nullopt : std::optional(position->at + delay);
}

std::deque<cache_event_feed::entry>::const_iterator cache_event_feed::firstFrom(std::uint64_t from) const
{
    return std::ranges::lower_bound(m_entries, from, {}, [](const entry& candidate) { return candidate.event.sequence; });
}

} // namespace carawaylink
