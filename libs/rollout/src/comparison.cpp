#include "rollout/comparison.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace carawaylink::rollout {

namespace {

// Failures of the target that are accepted: a multiple of the share that fails on the other versions, and a share of its own.
constexpr double failureFactor = 1.5;
constexpr double acceptedFailures = 0.015;
constexpr std::uint32_t minFailures = 3;
// About 2,000 comparisons are made per order; this keeps the chance of a false revert near 2 %.
constexpr double maxFailureChance = 1e-5;
// Without this many ended requests of the other versions on a route, all routes stand for it; without any, this share.
constexpr std::uint32_t minOldRequests = 20;
constexpr double unknownOldFailures = 0.1;

// A target that is slower by less than this factor is accepted.
constexpr double acceptedSlowness = 1.6;
constexpr std::uint32_t minLatencySamples = 5;
// Number of standard errors. The speeds of the endpoints of one version differ by up to 5 to 1, which is 1.75 standard deviations to either
// side of their mean, so that few endpoints of a sound version cannot reach it.
constexpr double minStandardErrors = 2.5;
// What is assumed of the spread between endpoints, with the weight of one observed endpoint: a quarter of the logarithm of 5.
constexpr double assumedSpread = 0.4;
// And of the spread of the requests of one endpoint.
constexpr double assumedDeviation = 0.5;
constexpr double assumedDeviationWeight = 5;

// The sum below underflows for large expectations, where the normal distribution is close enough.
constexpr double maxExactExpectation = 500;

// Probability of at least this many events where this many are expected.
double poissonTail(std::uint32_t count, double expected)
{
    if (expected > maxExactExpectation)
        return std::erfc((count - 0.5 - expected) / std::sqrt(2 * expected)) / 2;
    double term = std::exp(-expected);
    double below = 0;
    for (std::uint32_t i = 0; i < count; ++i) {
        below += term;
        term *= expected / (i + 1);
    }
    return std::max(1 - below, 0.0);
}

double failureShare(const route_counts& counts)
{
    return (counts.bad + 0.5) / (counts.ended + 1.0);
}

std::optional<fault> findFailures(route_hash route, const route_counts& target, const route_counts& old, const route_counts& allOld)
{
    const auto& known = old.ended >= minOldRequests ? old : allOld;
    const double oldShare = known.ended >= minOldRequests ? failureShare(known) : unknownOldFailures;
    const double expected = target.ended * (failureFactor * oldShare + acceptedFailures);
    if (target.bad < minFailures || poissonTail(target.bad, expected) > maxFailureChance)
        return std::nullopt;
    return fault { fault_kind::failures, route, static_cast<double>(target.bad) / target.ended, oldShare, target.ended };
}

std::optional<fault> findSlowness(fault_kind kind, route_hash route, const latency_summary& target, const latency_summary& old)
{
    if (target.samples < minLatencySamples || old.samples < minLatencySamples)
        return std::nullopt;
    const double targetMean = target.meanSum / target.endpoints;
    const double oldMean = old.meanSum / old.endpoints;
    const double between = std::max(old.meanSquares - old.endpoints * oldMean * oldMean, 0.0);
    const double betweenVariance = (assumedSpread * assumedSpread + between) / old.endpoints;
    const double freedom = old.samples - old.endpoints + assumedDeviationWeight;
    const double withinVariance = (assumedDeviationWeight * assumedDeviation * assumedDeviation + old.deviationSquares) / freedom;
    const double errorSquare
        = betweenVariance * (1.0 / target.endpoints + 1.0 / old.endpoints) + withinVariance * (1.0 / target.samples + 1.0 / old.samples);
    const double excess = targetMean - oldMean - std::log(acceptedSlowness);
    if (excess < minStandardErrors * std::sqrt(errorSquare))
        return std::nullopt;
    return fault { kind, route, std::exp(targetMean), std::exp(oldMean), target.samples };
}

} // namespace

bool slowdown::isAccepted() const
{
    return factor < acceptedSlowness;
}

slowdown slowdownOf(const fault& suspected, const evidence& given)
{
    const auto summary = [&](bool ofTarget) {
        const auto counts = given.of(suspected.route, ofTarget);
        return suspected.kind == fault_kind::slow_events ? counts.interval : counts.firstEvent;
    };
    const auto target = summary(true);
    const auto old = summary(false);
    if (target.endpoints == 0 || old.endpoints == 0)
        return {};
    return { std::exp(target.meanSum / target.endpoints - old.meanSum / old.endpoints), std::min(target.samples, old.samples) };
}

std::optional<fault> findFault(const evidence& given)
{
    const auto allOld = given.total(false);
    if (const auto found = findFailures(0, given.total(true), allOld, allOld))
        return found;
    // Failures count at once, so slowness of one route must not hide those of another.
    for (const auto& [key, target] : given.counts) {
        if (!key.second)
            continue;
        if (const auto found = findFailures(key.first, target, given.of(key.first, false), allOld))
            return found;
    }
    for (const auto& [key, target] : given.counts) {
        if (!key.second)
            continue;
        const auto old = given.of(key.first, false);
        if (const auto found = findSlowness(fault_kind::slow_first_event, key.first, target.firstEvent, old.firstEvent))
            return found;
        if (const auto found = findSlowness(fault_kind::slow_events, key.first, target.interval, old.interval))
            return found;
    }
    return std::nullopt;
}

} // namespace carawaylink::rollout
