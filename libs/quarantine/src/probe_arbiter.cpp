#include "quarantine/probe_arbiter.h"

#include <chrono>

namespace carawaylink::quarantine {

namespace {

// A crash is noticed, reported and decided within about 0.5 s.
constexpr auto crashReportTime = std::chrono::seconds(3);
// Longest deadline of a request that does not set one; a prober that is lost does not report the end of its probe.
constexpr auto maxProbeTime = std::chrono::seconds(30);

} // namespace

bool probe_arbiter::ask(part_hash part, const node_id& prober, monotonic_time now)
{
    auto& state = m_parts.try_emplace(part, part_state { std::nullopt, now + crashReportTime }).first->second;
    if (now < state.nextProbeAt)
        return false;
    state = { prober, now + maxProbeTime };
    return true;
}

void probe_arbiter::end(part_hash part, const node_id& prober, monotonic_time now)
{
    const auto found = m_parts.find(part);
    if (found != m_parts.end() && found->second.prober == prober)
        found->second = { std::nullopt, now + crashReportTime };
}

} // namespace carawaylink::quarantine
