#pragma once

#include "standins/engine_model.h"

namespace carawaylink {

/// A closed-loop load on one engine: as many callers as the batch has places, each sending its next request at once.
struct sweep_cell {
    engine_options engine;
    std::int64_t promptTokens = 1000;
    std::int64_t outputTokens = 100;
    std::size_t requests = 64;
    /// Share of a prompt that is one of a few common prefixes.
    double prefixShare = 0.5;
    std::size_t prefixes = 4;
};

struct sweep_result {
    /// From the arrival to the end of the iteration that generated the first token.
    duration firstTokenMean {};
    duration firstTokenP95 {};
    /// From the first token to the last, divided by the tokens between them; zero where there is one token only.
    duration timePerToken {};
    double outputTokensPerSecond = 0;
    double cacheHitShare = 0;
    /// Requests that do not fit into the KV cache.
    std::size_t refused = 0;
};

/// Runs the cell in virtual time.
sweep_result runSweep(const sweep_cell& cell);

} // namespace carawaylink
