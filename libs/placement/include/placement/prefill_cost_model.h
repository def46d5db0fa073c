#pragma once

#include "base/ids.h"

namespace carawaylink::placement {

/// Models how prefill time grows with prompt length. Attention makes the cost of a token grow with the number of tokens before it, so the
/// total grows faster than linearly. Learned over all endpoints of a service.
class prefill_cost_model {
public:
    /// Prefill work of a prompt, as the number of tokens of a short prompt that take equally long.
    tokens work(tokens prompt) const;
    /// Prefill work of the last chunk of a prompt, in the same unit.
    tokens lastChunkWork(tokens prompt) const;
    /// work: measured prefill work of the prompt, in tokens of a short prompt.
    void recordSample(tokens prompt, double work);

private:
    // Prompt length at which the mean time per token has doubled, for common dense models.
    static constexpr double typicalDoublingTokens = 24000;
    double m_growthPerToken = 1 / typicalDoublingTokens;
};

} // namespace carawaylink::placement
