#pragma once

#include "base/ids.h"
#include "placement/endpoint_health.h"
#include "placement/service_pool.h"

#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>

namespace carawaylink::gateway {

/// Counters and histograms of one node. The number of series is bounded: there are no labels for teams or requests.
class gateway_metrics {
public:
    gateway_metrics();

    void requestEnded(tier level, std::string_view result);
    void firstEvent(duration elapsed);
    void attemptFailed(placement::outcome result);
    /// A pool's decision reached a request that did not wait for it.
    void unexpectedDecision(std::string_view decision);
    /// A message was ended because all messages together held too much memory.
    void memoryExceeded(std::string_view kind);
    void setMessageBytes(std::size_t bytes);
    void setWaiting(std::size_t requests);
    void setActive(std::size_t requests);
    void setLiveNodes(std::size_t nodes);
    /// Parts whose requests are refused, and parts that are on probation.
    void setQuarantinedParts(std::size_t inForce, std::size_t onProbation);
    /// A request that asked for a probe was granted or refused it, or a probe was answered.
    void promptProbe(std::string_view result);
    /// A stream began whose start had to be recorded, or a caller took one up, with what is known of its version.
    void streamStart(std::string_view kind);
    void streamTakenUp(std::string_view source);
    void setLimitedEndpoints(std::size_t endpoints);
    /// Endpoints whose answers say that they leave, and those that asked this node for rest.
    void setLeavingEndpoints(std::size_t endpoints);
    void setRestingEndpoints(std::size_t endpoints);
    /// An endpoint asked for rest in a form that cannot be read.
    void unreadableRest();
    /// Admission control acted in a pool that this node owns.
    void admissions(const placement::admission_counts& counts);
    /// Prompt tokens of this node's requests since its start that were predicted to be cached, and that were.
    void setReuse(const placement::reuse_totals& totals);
    void setMarkedTeams(std::size_t teams);
    void setConfiguration(config_version version);
    /// This node has decided on a step of a roll-out.
    void rolloutStep(std::string_view stage);
    /// Orders of roll-outs that are undecided, as known to this node.
    void setOpenRollouts(std::size_t orders);

    /// Metrics in the Prometheus text format.
    std::string text() const;

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Counter>& m_attempts;
    prometheus::Family<prometheus::Counter>& m_unexpectedDecisions;
    prometheus::Family<prometheus::Counter>& m_memoryExceeded;
    prometheus::Family<prometheus::Counter>& m_admissions;
    prometheus::Family<prometheus::Counter>& m_promptProbes;
    prometheus::Family<prometheus::Counter>& m_rolloutSteps;
    prometheus::Family<prometheus::Counter>& m_streamStarts;
    prometheus::Family<prometheus::Counter>& m_takenUpStreams;
    prometheus::Family<prometheus::Gauge>& m_gauges;
    prometheus::Histogram& m_firstEvent;
    prometheus::Counter& m_unreadableRests;
    prometheus::Family<prometheus::Counter>& m_reuse;
    prometheus::Counter& m_predictedReuse;
    prometheus::Counter& m_foundReuse;
    prometheus::Gauge& m_messageBytes;
    prometheus::Gauge& m_waiting;
    prometheus::Gauge& m_active;
    prometheus::Gauge& m_liveNodes;
    prometheus::Gauge& m_quarantinedParts;
    prometheus::Gauge& m_partsOnProbation;
    prometheus::Gauge& m_limitedEndpoints;
    prometheus::Gauge& m_leavingEndpoints;
    prometheus::Gauge& m_restingEndpoints;
    prometheus::Gauge& m_markedTeams;
    prometheus::Gauge& m_configuration;
    prometheus::Gauge& m_openRollouts;
};

} // namespace carawaylink::gateway
