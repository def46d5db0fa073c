#pragma once

#include "load/history.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace carawaylink::load {

struct checker_settings {
    /// Time that a message between nodes needs: lower-tier work that ends or starts this close to a refusal is no inversion.
    std::chrono::milliseconds inversionTolerance { 100 };
    /// Longest time after the first indication during which a leaving endpoint may still receive work.
    std::chrono::milliseconds leavingLimit { 2000 };
    /// Longest time until an accepted configuration is in force everywhere.
    std::chrono::milliseconds configLimit { 14000 };
};

/// Verdict on one promise of section 1.1 of the design page.
struct promise_result {
    int number = 0;
    /// Number of objects (calls, refusals, arrivals, versions) that were decided.
    std::int64_t checked = 0;
    std::int64_t breaches = 0;
    /// What went wrong in the breach with the shortest trace, and the lines that show it.
    std::string detail;
    std::vector<std::string> trace;

    bool kept() const { return breaches == 0; }
};

/// Decides the promises P1 to P8 separately from merged histories.
std::array<promise_result, 8> checkPromises(const history& merged, const checker_settings& settings);

/// "P1 ok checked=N", or "P1 breach ..." followed by the trace, one line each.
std::string promiseText(const promise_result& result);

} // namespace carawaylink::load
