#pragma once

#include "load/history.h"

#include <cstdint>
#include <string>
#include <vector>

namespace carawaylink::load {

enum class call_result {
    /// Whole and correct; call_outcome::inTime says whether before the deadline.
    complete,
    /// Ended as an answer, but not whole or not correct.
    wrong,
    /// Refused with certainty that it did not run, or not sent at all.
    not_run,
    /// Broken, or refused without that certainty.
    unknown,
};

/// What became of one call after all its attempts.
struct call_outcome {
    std::string call;
    std::string team;
    std::string service;
    std::int64_t tier = 0;
    /// Scheduled arrival and end of the last attempt; the same clock as the histories.
    std::int64_t arrivalUs = 0;
    std::int64_t endUs = 0;
    std::int64_t firstTokenUs = -1;
    std::int64_t latencyUs = -1;
    std::int64_t attempts = 0;
    std::int64_t promptTokens = 0;
    std::int64_t tokens = 0;
    std::string prefix;
    std::int64_t prefixTokens = 0;
    call_result result = call_result::unknown;
    bool inTime = false;
    /// The last answer was a refusal.
    bool refused = false;
};

/// Outcomes of all calls in the callers' histories, ordered by arrival.
std::vector<call_outcome> collectOutcomes(const history& merged);

/// Prefill work of one request on an engine.
struct prefill_use {
    std::int64_t timeUs = 0;
    std::string service;
    std::int64_t tier = 0;
    /// Prompt tokens that the engine computed.
    std::int64_t computed = 0;
    /// Computed for a call that got no whole answer.
    std::int64_t unfinished = 0;
    /// Computed again although another endpoint of the service provably held them.
    std::int64_t repeated = 0;
};

/// Prefill work from the engines' histories for the calls of the outcomes. An endpoint provably holds a prefix between the
/// first token of a request with that prefix and its next request with it, if that one found it in the cache; so `repeated`
/// is a lower bound. A request cancelled between start and first token counts with prefilled_tokens where the engine
/// reports it, else with its whole uncached prompt.
std::vector<prefill_use> collectPrefills(const history& merged, const std::vector<call_outcome>& outcomes);

} // namespace carawaylink::load
