#pragma once

#include "base/ids.h"

namespace carawaylink::placement {

/// How the time to read a prompt grows with its length. An engine reads each token against all tokens before it, so a long prompt
/// takes longer than its length tells. Learned over all endpoints of a service.
class prefill_cost_model {
public:
    /// Tokens of a short prompt that take as long to read.
    tokens work(tokens prompt) const;
    /// The same for the last part of a prompt that is read at once.
    tokens lastChunkWork(tokens prompt) const;
    /// work: what reading the prompt took, in tokens of a short prompt.
    void recordSample(tokens prompt, double work);

private:
    // Tokens at which the time for each token has doubled, for common dense models.
    static constexpr double typicalDoublingTokens = 24000;
    double m_growthPerToken = 1 / typicalDoublingTokens;
};

} // namespace carawaylink::placement
