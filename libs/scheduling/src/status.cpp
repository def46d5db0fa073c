#include "pool_state.h"

#include <algorithm>

namespace carawaylink {

pool_status pool_scheduler::status(monotonic_time) const
{
    const auto& impl = *m_implementation;
    pool_status result;
    result.waiting = impl.waiting;
    result.running = impl.running;
    result.slots = impl.slots;
    result.inversions = impl.inversions;
    double workSeconds = 0;
    for (const auto& [level, queue] : impl.tiers) {
        workSeconds += queue.workSeconds();
        if (queue.size() + queue.parked + queue.running > 0)
            result.leastUrgentTierInService = level;
    }
    if (impl.slots > 0) {
        const double available = static_cast<double>(impl.slots) - static_cast<double>(impl.running);
        const double wait = workSeconds * std::clamp(impl.workRatio.mean(), 0.1, 10.0) + impl.meanRunTime.mean() * (1 - available);
        result.waitEstimate = fromSeconds(std::max(0.0, wait / static_cast<double>(impl.slots)));
    }
    return result;
}

std::vector<endpoint_status> pool_scheduler::endpoints() const
{
    auto& impl = *m_implementation;
    std::vector<endpoint_status> result;
    for (const auto& entry : impl.endpoints) {
        const auto models = impl.modelsOf(*entry);
        result.push_back({ entry->description.id, entry->running, entry->description.maxRunning, !entry->eligible(), entry->ejected,
            models.prefillTokensPerSecond(),
            models.secondsPerToken(static_cast<double>(std::max<std::size_t>(1, entry->running))) * 1000 });
    }
    return result;
}

std::optional<std::string> pool_scheduler::explain(const request_id& request) const
{
    const auto& impl = *m_implementation;
    const auto found = impl.requests.find(request);
    if (found == impl.requests.end()) {
        const auto past = impl.history.find(request);
        return past == impl.history.end() ? std::nullopt : std::optional(past->second.text);
    }
    const auto& record = found->second;
    std::string text = std::string(requestPhaseNames.name(record.phase)) + ": tier " + std::to_string(record.request.level.value)
        + ", team " + record.request.team.value + ", virtual time " + std::to_string(std::llround(record.teamFlow->virtualTime)) + ", "
        + (record.longRequest ? "long" : "short") + " request of about " + milliseconds(record.workSeconds) + " and "
        + std::to_string(std::llround(record.expectedOutput)) + " output tokens, deadline in "
        + milliseconds(toSeconds(record.request.deadline - impl.lastNow));
    if (record.phase == request_phase::running)
        return text + "; on " + record.endpoint->description.id.value + ": " + record.explanation
            + (record.preempting ? "; being preempted for a more urgent tier" : "") + (record.homeFailed ? "; its home node failed" : "");
    const auto& queue = impl.tiers.at(record.request.level);
    text += "; " + std::to_string(queue.size() + queue.parked) + " requests wait in the tier, " + std::to_string(record.teamFlow->size())
        + " of this team";
    if (record.phase == request_phase::parked)
        text += "; waits for a slot of " + record.endpoint->description.id.value;
    if (record.longRequest && !impl.longAllowed(record.request.level))
        text += (impl.preemptionLikely(impl.tiers.find(record.request.level))
                ? "; held back because most long requests of the tier were preempted"
                : "; held back because long requests hold their share of the slots");
    return text;
}

} // namespace carawaylink
