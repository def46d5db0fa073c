#include "metrics.h"

#include "base/time.h"

#include <prometheus/text_serializer.h>

namespace carawaylink::gateway {

namespace {

const prometheus::Histogram::BucketBoundaries firstEventSeconds { 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 5, 10 };

prometheus::Family<prometheus::Gauge>& gauges(prometheus::Registry& registry)
{
    return prometheus::BuildGauge().Name("carawaylink_gateway_state").Help("State of this node by kind").Register(registry);
}

} // namespace

gateway_metrics::gateway_metrics()
    : m_requests(prometheus::BuildCounter()
                     .Name("carawaylink_gateway_requests_total")
                     .Help("Requests that ended, by tier and result")
                     .Register(m_registry))
    , m_attempts(prometheus::BuildCounter()
                     .Name("carawaylink_gateway_failed_attempts_total")
                     .Help("Sends to an endpoint that failed, by outcome")
                     .Register(m_registry))
    , m_unexpectedDecisions(prometheus::BuildCounter()
                                .Name("carawaylink_gateway_unexpected_decisions_total")
                                .Help("Grants and refusals that reached a request that did not wait for them")
                                .Register(m_registry))
    , m_memoryExceeded(prometheus::BuildCounter()
                           .Name("carawaylink_gateway_memory_exceeded_total")
                           .Help("Messages that were ended because all messages together held too much memory, by kind")
                           .Register(m_registry))
    , m_admissions(prometheus::BuildCounter()
                       .Name("carawaylink_gateway_admissions_total")
                       .Help("Acts of admission control in the pools that this node owns, by kind")
                       .Register(m_registry))
    , m_promptProbes(prometheus::BuildCounter()
                         .Name("carawaylink_gateway_prompt_probes_total")
                         .Help("Requests that asked to probe a quarantined prompt part, by what became of them")
                         .Register(m_registry))
    , m_rolloutSteps(prometheus::BuildCounter()
                         .Name("carawaylink_gateway_rollout_steps_total")
                         .Help("Stages of roll-outs that this node has decided to enter, by stage")
                         .Register(m_registry))
    , m_streamStarts(prometheus::BuildCounter()
                         .Name("carawaylink_gateway_stream_starts_total")
                         .Help("Streams that began at another version than the base of their service, by what became of the record")
                         .Register(m_registry))
    , m_takenUpStreams(prometheus::BuildCounter()
                           .Name("carawaylink_gateway_streams_taken_up_total")
                           .Help("Streams that callers took up, by how the version was known that began them")
                           .Register(m_registry))
    , m_gauges(gauges(m_registry))
    , m_firstEvent(prometheus::BuildHistogram()
                       .Name("carawaylink_gateway_first_event_seconds")
                       .Help("Time from the arrival of a request to its response or first event")
                       .Register(m_registry)
                       .Add({}, firstEventSeconds))
    , m_unreadableRests(prometheus::BuildCounter()
                            .Name("carawaylink_gateway_unreadable_rests_total")
                            .Help("Refusals of endpoints that ask for rest in a form that cannot be read")
                            .Register(m_registry)
                            .Add({}))
    , m_reuse(prometheus::BuildCounter()
                  .Name("carawaylink_gateway_reused_prompt_tokens_total")
                  .Help("Prompt tokens that were predicted to be cached, and that the time to the first event showed to be")
                  .Register(m_registry))
    , m_predictedReuse(m_reuse.Add({ { "kind", "predicted" } }))
    , m_foundReuse(m_reuse.Add({ { "kind", "found" } }))
    , m_messageBytes(m_gauges.Add({ { "kind", "message_bytes" } }))
    , m_waiting(m_gauges.Add({ { "kind", "waiting_requests" } }))
    , m_active(m_gauges.Add({ { "kind", "active_requests" } }))
    , m_liveNodes(m_gauges.Add({ { "kind", "live_nodes" } }))
    , m_quarantinedParts(m_gauges.Add({ { "kind", "quarantined_prompt_parts" } }))
    , m_partsOnProbation(m_gauges.Add({ { "kind", "prompt_parts_on_probation" } }))
    , m_limitedEndpoints(m_gauges.Add({ { "kind", "endpoints_with_request_limit" } }))
    , m_leavingEndpoints(m_gauges.Add({ { "kind", "leaving_endpoints" } }))
    , m_restingEndpoints(m_gauges.Add({ { "kind", "resting_endpoints" } }))
    , m_markedTeams(m_gauges.Add({ { "kind", "marked_teams" } }))
    , m_configuration(m_gauges.Add({ { "kind", "configuration_version" } }))
    , m_openRollouts(m_gauges.Add({ { "kind", "open_rollouts" } }))
{
}

void gateway_metrics::requestEnded(tier level, std::string_view result)
{
    m_requests.Add({ { "tier", std::to_string(level.value) }, { "result", std::string(result) } }).Increment();
}

void gateway_metrics::firstEvent(duration elapsed)
{
    m_firstEvent.Observe(inSeconds(elapsed));
}

void gateway_metrics::attemptFailed(placement::outcome result)
{
    m_attempts.Add({ { "outcome", std::string(placement::outcomeNames.name(result)) } }).Increment();
}

void gateway_metrics::unexpectedDecision(std::string_view decision)
{
    m_unexpectedDecisions.Add({ { "decision", std::string(decision) } }).Increment();
}

void gateway_metrics::memoryExceeded(std::string_view kind)
{
    m_memoryExceeded.Add({ { "kind", std::string(kind) } }).Increment();
}

void gateway_metrics::setMessageBytes(std::size_t bytes)
{
    m_messageBytes.Set(static_cast<double>(bytes));
}

void gateway_metrics::setWaiting(std::size_t requests)
{
    m_waiting.Set(static_cast<double>(requests));
}

void gateway_metrics::setActive(std::size_t requests)
{
    m_active.Set(static_cast<double>(requests));
}

void gateway_metrics::setLiveNodes(std::size_t nodes)
{
    m_liveNodes.Set(static_cast<double>(nodes));
}

void gateway_metrics::streamStart(std::string_view kind)
{
    m_streamStarts.Add({ { "kind", std::string(kind) } }).Increment();
}

void gateway_metrics::streamTakenUp(std::string_view source)
{
    m_takenUpStreams.Add({ { "source", std::string(source) } }).Increment();
}

void gateway_metrics::promptProbe(std::string_view result)
{
    m_promptProbes.Add({ { "result", std::string(result) } }).Increment();
}

void gateway_metrics::setQuarantinedParts(std::size_t inForce, std::size_t onProbation)
{
    m_quarantinedParts.Set(static_cast<double>(inForce));
    m_partsOnProbation.Set(static_cast<double>(onProbation));
}

void gateway_metrics::setLimitedEndpoints(std::size_t endpoints)
{
    m_limitedEndpoints.Set(static_cast<double>(endpoints));
}

void gateway_metrics::setLeavingEndpoints(std::size_t endpoints)
{
    m_leavingEndpoints.Set(static_cast<double>(endpoints));
}

void gateway_metrics::setRestingEndpoints(std::size_t endpoints)
{
    m_restingEndpoints.Set(static_cast<double>(endpoints));
}

void gateway_metrics::setMarkedTeams(std::size_t teams)
{
    m_markedTeams.Set(static_cast<double>(teams));
}

void gateway_metrics::unreadableRest()
{
    m_unreadableRests.Increment();
}

void gateway_metrics::admissions(const placement::admission_counts& counts)
{
    m_admissions.Add({ { "kind", "floor_starts" } }).Increment(static_cast<double>(counts.floorStarts));
}

void gateway_metrics::setReuse(const placement::reuse_totals& totals)
{
    m_predictedReuse.Increment(static_cast<double>(totals.predicted) - m_predictedReuse.Value());
    m_foundReuse.Increment(static_cast<double>(totals.found) - m_foundReuse.Value());
}

void gateway_metrics::setConfiguration(config_version version)
{
    m_configuration.Set(static_cast<double>(version.value));
}

void gateway_metrics::rolloutStep(std::string_view stage)
{
    m_rolloutSteps.Add({ { "stage", std::string(stage) } }).Increment();
}

void gateway_metrics::setOpenRollouts(std::size_t orders)
{
    m_openRollouts.Set(static_cast<double>(orders));
}

std::string gateway_metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace carawaylink::gateway
