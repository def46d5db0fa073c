#include "standins/log_model.h"

#include <algorithm>

namespace carawaylink {

namespace {

double burst(double appendsPerSecond)
{
    return std::max(10.0, appendsPerSecond / 10);
}

} // namespace

log_model::log_model(log_options options)
    : m_options(options)
    , m_faults(logFaults)
    , m_random(options.seed)
    , m_allowance(burst(options.appendsPerSecond))
{
}

log_model::append_result log_model::append(monotonic_time now, const std::string& stream, std::string id, std::string data)
{
    const double passed = m_allowanceAt ? std::chrono::duration<double>(now - *m_allowanceAt).count() : 0;
    m_allowance = std::min(burst(m_options.appendsPerSecond), m_allowance + passed * m_options.appendsPerSecond);
    m_allowanceAt = now;
    if (m_allowance < 1) {
        const std::chrono::duration<double> wait((1 - m_allowance) / m_options.appendsPerSecond);
        return { append_result::kind::rate_limited, {}, std::chrono::duration_cast<duration>(wait) };
    }
    m_allowance -= 1;
    auto& state = m_streams[stream];
    const log_offset offset(state.next++);
    state.records.push_back({ offset, std::move(id), std::move(data), now });
    expire(now, state);
    const double share = m_faults.number(log_fault::lose_answer_share);
    const bool lost = share > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < share;
    return { lost ? append_result::kind::answer_lost : append_result::kind::stored, offset, {} };
}

log_model::page log_model::read(monotonic_time now, const std::string& stream, log_offset from)
{
    auto& state = m_streams[stream];
    expire(now, state);
    const auto first = state.first();
    if (from.value < first)
        return { true, log_offset(first), log_offset(state.next), {} };
    page result { false, log_offset(first), from, {} };
    if (from.value >= state.next)
        return result;
    const auto begin = state.records.begin() + static_cast<std::ptrdiff_t>(from.value - first);
    const auto count = std::min<std::ptrdiff_t>(state.records.end() - begin, static_cast<std::ptrdiff_t>(m_options.maxPage));
    result.records.assign(begin, begin + count);
    result.next = log_offset(from.value + static_cast<std::uint64_t>(count));
    return result;
}

void log_model::applyFaults(std::string_view json)
{
    m_faults.apply(json);
    const auto limit = static_cast<std::uint64_t>(m_faults.number(log_fault::truncate_before));
    for (auto& [name, state] : m_streams) {
        while (!state.records.empty() && state.records.front().offset.value < limit)
            state.records.pop_front();
    }
}

duration log_model::delay() const
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(m_faults.number(log_fault::slow_ms)));
}

void log_model::expire(monotonic_time now, stream_state& stream) const
{
    auto& records = stream.records;
    while (!records.empty() && (records.size() > m_options.retentionRecords || records.front().at + m_options.retention < now))
        records.pop_front();
}

weight_store_model::weight_store_model(std::size_t maxLoads, duration loadTime)
    : m_maxLoads(maxLoads)
    , m_loadTime(loadTime)
{
}

std::optional<monotonic_time> weight_store_model::begin(monotonic_time now)
{
    while (!m_ends.empty() && m_ends.front() <= now)
        m_ends.pop_front();
    if (m_ends.size() >= m_maxLoads)
        return std::nullopt;
    m_ends.push_back(now + m_loadTime);
    return m_ends.back();
}

} // namespace carawaylink
