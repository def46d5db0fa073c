#pragma once

#include "base/ids.h"

#include <optional>
#include <vector>

namespace carawaylink::placement {

/// Latency parameters that a node has learned for one endpoint.
struct endpoint_speed {
    /// Time to the first event for an empty prompt.
    double baseMs = 40;
    double msPerToken = 0.01;
    double msPerEvent = 30;
    /// Number of responses behind the estimate.
    std::uint32_t samples = 0;
};

/// True if any parameter differs enough to affect decisions.
bool differsSignificantly(const endpoint_speed& one, const endpoint_speed& other);

/// Unweighted mean over endpoints; initial estimate for another endpoint of the same service.
endpoint_speed meanSpeed(const std::vector<endpoint_speed>& speeds);

/// Mean of the estimates of several nodes, weighted by the number of responses that each has observed, up to 10. Returns the first one if
/// no node has observed any.
endpoint_speed combine(const endpoint_speed& first, const std::vector<endpoint_speed>& others);

/// Latency model of one endpoint, learned from observed responses. Predicts the time to the first event from the prompt tokens that are
/// prefilled before and with a request, and the streaming time of a response from its number of events.
class latency_model {
public:
    /// Time from sending a request to its first event. queuedTokens: prompt tokens of earlier requests whose prefill is pending.
    duration timeToFirstEvent(tokens queuedTokens, tokens prompt) const;
    /// Time from the first event to the end of a response.
    duration timeToStream(double events) const;
    /// Number of prompt tokens that the endpoint prefills before a first event that takes the elapsed time.
    double prefilledTokens(duration elapsed) const;
    /// Time to prefill prompt tokens.
    duration prefillTime(tokens prompt) const;

    void recordFirstEvent(tokens queuedTokens, tokens prompt, duration elapsed);
    /// events: number of events after the first one; elapsed: time since the first one. The response may still be in progress.
    void recordEvents(std::size_t events, duration elapsed);
    bool hasSamples() const { return m_own.samples > 0; }

    /// Sets an estimate that the first responses replace.
    void setInitialEstimate(const endpoint_speed& estimate);
    /// Estimate used for predictions: the mean of the own and the reported one.
    const endpoint_speed& combined() const { return m_combined; }
    /// Estimate from the responses that this node observed.
    const endpoint_speed& own() const { return m_own; }
    /// Sets the estimate that another node has learned from more responses; it replaces an earlier one.
    void setReported(const endpoint_speed& speed);

private:
    void scaleBy(double ratio);
    void updateCombined();

    endpoint_speed m_own;
    std::uint32_t m_eventSamples = 0;
    std::optional<endpoint_speed> m_reported;
    endpoint_speed m_combined;
};

} // namespace carawaylink::placement
