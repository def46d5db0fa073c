#pragma once

#include "base/ids.h"

#include <functional>
#include <memory>
#include <string>

namespace carawaylink {

/// Contribution of one finished request to the metrics. A duration is zero if the event did not happen.
struct request_observation {
    team_id team;
    tier level;
    service_id service;
    /// "complete" or the type of the error.
    std::string outcome;
    duration waited {};
    duration firstToken {};
    duration total {};
    std::int64_t outputTokens = 0;
};

/// Prometheus metrics of the node. Thread-safe. Teams beyond the first 100 share the label "other", which bounds the number of time
/// series.
class metrics {
public:
    metrics();
    ~metrics();

    void observe(const request_observation& observation);
    void setGauge(const std::string& name, const std::string& labelValue, double value);
    /// Text exposition format.
    std::string render() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace carawaylink
