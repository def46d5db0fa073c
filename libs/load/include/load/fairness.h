#pragma once

#include "load/outcomes.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carawaylink::load {

/// Jain index of numbers: 1 where all are equal, 1/n where one has everything. Nothing for fewer than two numbers.
std::optional<double> jainIndex(const std::vector<double>& values);

struct fairness {
    double index = 0;
    /// Windows with two backlogged teams, over all services and tiers. A few windows are no evidence: requests differ 100:1.
    std::int64_t windows = 0;
};

/// Jain index of the teams' service rates while backlogged, each divided by the team's weight (1 where it has none).
/// Teams are compared per service and tier in windows of 5 s in which at least two teams had a request waiting for 90% of
/// the window; the indexes of services and tiers are averaged by served tokens. Waiting is queued-to-granted at nodes and
/// received-to-started at engines, where it lasts at least 50 ms. Served tokens are uncached prompt and output tokens, charged at the first
/// token. Nothing where no window had two backlogged teams.
std::optional<fairness> weightedJain(
    const history& merged, const std::vector<call_outcome>& outcomes, const std::map<std::string, double>& weights);

} // namespace carawaylink::load
