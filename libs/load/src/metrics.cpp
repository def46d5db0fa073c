#include "load/metrics.h"

#include "load/fairness.h"

#include <algorithm>

namespace carawaylink::load {
namespace {

void addOutcome(group_metrics& group, const call_outcome& outcome)
{
    ++group.offered;
    group.refused += outcome.refused ? 1 : 0;
    switch (outcome.result) {
    case call_result::complete:
        ++(outcome.inTime ? group.good : group.late);
        group.whole.add(outcome.latencyUs);
        break;
    case call_result::wrong:
        ++group.wrong;
        break;
    case call_result::not_run:
        break;
    case call_result::unknown:
        ++group.unknown;
        break;
    }
    if (outcome.firstTokenUs >= 0)
        group.firstToken.add(outcome.firstTokenUs);
}

void addPrefill(group_metrics& group, const prefill_use& use)
{
    group.prefillComputed += use.computed;
    group.prefillUnfinished += use.unfinished;
    group.prefillRepeated += use.repeated;
}

} // namespace

std::optional<double> group_metrics::wastedPrefillShare() const
{
    if (prefillComputed == 0)
        return std::nullopt;
    return static_cast<double>(prefillUnfinished + prefillRepeated) / static_cast<double>(prefillComputed);
}

load_metrics measureLoad(const history& merged, const std::map<std::string, double>& teamWeights)
{
    load_metrics metrics;
    const auto outcomes = collectOutcomes(merged);
    if (!outcomes.empty())
        metrics.seconds = static_cast<double>(outcomes.back().arrivalUs - outcomes.front().arrivalUs) / 1e6;
    for (const auto& outcome : outcomes) {
        addOutcome(metrics.total, outcome);
        addOutcome(metrics.tiers[outcome.tier], outcome);
        addOutcome(metrics.services[outcome.service], outcome);
    }
    for (const auto& use : collectPrefills(merged, outcomes)) {
        addPrefill(metrics.total, use);
        addPrefill(metrics.tiers[use.tier], use);
        addPrefill(metrics.services[use.service], use);
    }
    for (const auto& record : merged.records()) {
        if (record.source != history_source::caller || record.event != "token_gaps")
            continue;
        for (const auto& [bound, count] : record.buckets) {
            metrics.total.betweenTokens.add(bound, count);
            metrics.tiers[record.tier].betweenTokens.add(bound, count);
        }
    }
    metrics.jain = weightedJain(merged, outcomes, teamWeights);
    return metrics;
}

} // namespace carawaylink::load
