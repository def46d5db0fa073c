#include "streams/start_recorder.h"

#include <algorithm>

namespace carawaylink::streams {

namespace {

// Starts wait this long for others, since the store prices its calls. Less than an engine takes to the first event.
constexpr auto batchDelay = std::chrono::milliseconds(25);
// A write that has not been confirmed is repeated; later each time.
constexpr auto minRepeatDelay = std::chrono::milliseconds(150);
constexpr auto maxRepeatDelay = std::chrono::milliseconds(1200);
// A start that the store has not accepted by then is of no use any more.
constexpr auto maxAge = std::chrono::seconds(30);
constexpr std::size_t maxStartsOfBatch = 4000;

} // namespace

void start_recorder::add(const node_id& node, const stream_start& start, monotonic_time now)
{
    m_entries.try_emplace({ start.stream, start.send, node }, entry { start, now, std::nullopt, minRepeatDelay });
}

start_recorder::batch start_recorder::takeBatch(monotonic_time now)
{
    std::erase_if(m_entries, [now](const auto& item) { return now - item.second.addedAt > maxAge; });
    const auto isDue = [now](const auto& item) {
        const auto& waiting = item.second;
        return waiting.writtenAt ? now - *waiting.writtenAt >= waiting.repeatDelay : now - waiting.addedAt >= batchDelay;
    };
    batch result;
    if (std::ranges::none_of(m_entries, isDue))
        return result;
    for (auto& item : m_entries) {
        auto& waiting = item.second;
        if (result.size() == maxStartsOfBatch)
            break;
        if (waiting.writtenAt && !isDue(item))
            continue;
        if (waiting.writtenAt)
            waiting.repeatDelay = std::min<duration>(2 * waiting.repeatDelay, maxRepeatDelay);
        waiting.writtenAt = now;
        result.push_back(waiting.start);
    }
    return result;
}

std::map<node_id, start_recorder::batch> start_recorder::confirm(const batch& written)
{
    std::map<node_id, batch> result;
    for (const auto& start : written) {
        const auto first = m_entries.lower_bound({ start.stream, start.send, node_id {} });
        auto last = first;
        for (; last != m_entries.end() && last->first.stream == start.stream && last->first.send == start.send; ++last)
            result[last->first.node].push_back(start);
        m_entries.erase(first, last);
    }
    return result;
}

} // namespace carawaylink::streams
