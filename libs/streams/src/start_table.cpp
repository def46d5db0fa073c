#include "streams/start_table.h"

#include <algorithm>
#include <iterator>

namespace carawaylink::streams {

void start_table::add(const stream_start& start, monotonic_time now)
{
    const auto [position, inserted] = m_starts.try_emplace(start.stream.value, known_start { start, now });
    if (inserted) {
        m_order.emplace_back(now, start.stream);
        return;
    }
    if (start.send >= position->second.start.send)
        position->second.start = start;
}

const stream_start* start_table::find(stream_id stream) const
{
    const auto found = m_starts.find(stream.value);
    return found == m_starts.end() ? nullptr : &found->second.start;
}

duration start_table::ageOf(stream_id stream, monotonic_time now) const
{
    const auto found = m_starts.find(stream.value);
    return found == m_starts.end() ? duration {} : now - found->second.since;
}

std::vector<stream_start> start_table::all() const
{
    std::vector<stream_start> result;
    std::ranges::transform(m_starts, std::back_inserter(result), [](const auto& entry) { return entry.second.start; });
    return result;
}

void start_table::expire(monotonic_time now)
{
    while (!m_order.empty() && now - m_order.front().first > streamReturnTime) {
        m_starts.erase(m_order.front().second.value);
        m_order.pop_front();
    }
}

} // namespace carawaylink::streams
