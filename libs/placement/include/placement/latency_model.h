#pragma once

#include "base/ids.h"

#include <map>
#include <vector>

namespace carawaylink::placement {

/// What a node has learned of the speed of one endpoint.
struct endpoint_speed {
    /// Time to the first event of an empty prompt.
    double baseMs = 40;
    double msPerToken = 0.01;
    double msPerEvent = 30;
    /// Responses that it rests on.
    std::uint32_t samples = 0;
};

/// A part of the speed has changed so much that decisions may differ.
bool differsSignificantly(const endpoint_speed& one, const endpoint_speed& other);

/// Mean of several endpoints, as a guess for another one of the same service.
endpoint_speed meanSpeed(const std::vector<endpoint_speed>& speeds);

/// Mean of what several nodes have learned, by the responses that each has seen; the first one is used where none has seen any.
endpoint_speed combine(const endpoint_speed& first, const std::vector<endpoint_speed>& others);

/// Learned speed of one endpoint, from the responses that this node saw. Predicts the time to the first event from the prompt
/// tokens that are read before and with a request, and the length of a response from its events.
class latency_model {
public:
    /// Time from sending a request to its first event. queuedTokens: prompt tokens of earlier requests that are not read yet.
    duration timeToFirstEvent(tokens queuedTokens, tokens prompt) const;
    /// Time from the first event to the end of a response.
    duration timeToStream(double events) const;
    /// Tokens that are read until the first event in that time.
    double prefillWork(duration elapsed) const;
    /// Time to read prompt tokens.
    duration prefillTime(tokens prompt) const;

    void recordFirstEvent(tokens queuedTokens, tokens prompt, duration elapsed);
    /// events: after the first one; elapsed: since the first one. The response may still go on.
    void recordEvents(std::size_t events, duration elapsed);
    bool hasSamples() const { return m_own.samples > 0; }

    /// Starts from a guess, which the first response replaces.
    void setInitialEstimate(const endpoint_speed& guess);
    /// What predictions use.
    const endpoint_speed& combined() const { return m_combined; }
    /// What this node itself has seen.
    const endpoint_speed& own() const { return m_own; }
    /// Replaces what a peer has seen.
    void setPeer(const node_id& node, const endpoint_speed& speed);
    void removePeer(const node_id& node);

private:
    void scaleBy(double ratio);
    void updateCombined();

    endpoint_speed m_own;
    std::uint32_t m_eventSamples = 0;
    std::map<node_id, endpoint_speed> m_peers;
    // What predictions use: the mean over the nodes.
    endpoint_speed m_combined;
};

} // namespace carawaylink::placement
