#pragma once

#include "load/fairness.h"
#include "load/latency_histogram.h"
#include "load/outcomes.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carawaylink::load {

/// Figures of a tier, a service or of all calls.
struct group_metrics {
    std::int64_t offered = 0;
    /// Complete within the deadline.
    std::int64_t good = 0;
    /// Complete after the deadline.
    std::int64_t late = 0;
    std::int64_t wrong = 0;
    std::int64_t refused = 0;
    std::int64_t unknown = 0;
    latency_histogram firstToken;
    latency_histogram betweenTokens;
    latency_histogram whole;
    std::int64_t prefillComputed = 0;
    std::int64_t prefillUnfinished = 0;
    std::int64_t prefillRepeated = 0;

    double share(std::int64_t part) const { return offered == 0 ? 0 : static_cast<double>(part) / static_cast<double>(offered); }
    /// Nothing where no engine history was given.
    std::optional<double> wastedPrefillShare() const;
};

struct load_metrics {
    /// From the first to the last arrival.
    double seconds = 0;
    group_metrics total;
    std::map<std::int64_t, group_metrics> tiers;
    std::map<std::string, group_metrics> services;
    std::optional<fairness> jain;

    double perSecond(std::int64_t count) const { return seconds > 0 ? static_cast<double>(count) / seconds : 0; }
};

/// Computes all figures from merged histories of callers and, as far as given, engines and nodes.
load_metrics measureLoad(const history& merged, const std::map<std::string, double>& teamWeights);

/// Table for people, without the last line.
std::string metricsTable(const load_metrics& metrics);
/// One JSON object.
std::string metricsJson(const load_metrics& metrics);
/// "load key=value ..." without line end; `extra` is appended.
std::string metricsLine(const load_metrics& metrics, const std::string& extra);

/// Compares the figures with a file of outcomes; returns one sentence for each that fell short.
/// Throws error(invalid_settings) for a malformed file.
std::vector<std::string> compareOutcomes(const load_metrics& metrics, const std::string& path);

} // namespace carawaylink::load
