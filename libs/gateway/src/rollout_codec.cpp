#include "peer_codec.h"

#include <algorithm>
#include <xxhash.h>

namespace carawaylink::gateway {

namespace {

peer::latency_summary encodeLatency(const rollout::latency_summary& summary)
{
    return { summary.endpoints, summary.samples, summary.meanSum, summary.meanSquares, summary.deviationSquares };
}

rollout::latency_summary decodeLatency(const peer::latency_summary& message)
{
    return { message.endpoints(), message.samples(), message.mean_sum(), message.mean_squares(), message.deviation_squares() };
}

} // namespace

peer::rollout_rulesT encodeRules(const service_id& service, const placement::version_rules& rules, double share)
{
    peer::rollout_rulesT message;
    message.service = service.value;
    message.order = rules.stamp.order;
    message.target = rules.target;
    message.retired = rules.retired;
    message.use = static_cast<std::uint8_t>(rules.use);
    message.is_final = rules.stamp.isFinal;
    message.term = rules.stamp.term;
    message.sequence = rules.stamp.sequence;
    message.share = static_cast<float>(share);
    return message;
}

placement::version_rules decodeRules(const peer::rollout_rulesT& message)
{
    placement::version_rules rules;
    rules.stamp = { message.order, message.is_final, message.term, message.sequence };
    rules.target = message.target;
    rules.retired = message.retired;
    const auto last = static_cast<std::uint8_t>(placement::version_use::target_only);
    // A use that only a newer peer knows must not reach the target.
    rules.use = message.use > last ? placement::version_use::old_only : static_cast<placement::version_use>(message.use);
    return rules;
}

std::vector<peer::route_evidence> encodeEvidence(const rollout::evidence& collected)
{
    std::vector<peer::route_evidence> result;
    for (const auto& [key, counts] : collected.counts) {
        result.emplace_back(
            key.first, counts.sent, counts.ended, counts.bad, key.second, encodeLatency(counts.firstEvent), encodeLatency(counts.interval));
    }
    return result;
}

rollout::evidence decodeEvidence(const std::vector<peer::route_evidence>& entries)
{
    rollout::evidence result;
    for (const auto& entry : entries) {
        result.counts[{ entry.route(), entry.is_target() }].add(
            { entry.sent(), entry.ended(), entry.bad(), decodeLatency(entry.first_event()), decodeLatency(entry.event_interval()) });
    }
    return result;
}

rollout::route_hash routeHash(const std::string& name)
{
    return std::max<rollout::route_hash>(XXH64(name.data(), name.size(), 0), 1);
}

} // namespace carawaylink::gateway
