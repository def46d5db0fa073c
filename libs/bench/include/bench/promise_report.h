#pragma once

#include "load/checker.h"

#include <array>
#include <ostream>
#include <string>
#include <vector>

namespace carawaylink::bench {

/// Verdicts on the promises from the histories of a run.
struct promise_report {
    std::array<load::promise_result, 8> promises;
    std::int64_t requests = 0;
    double unknownShare = 0;

    bool kept() const;
    std::int64_t breaches(int promise) const { return promises.at(static_cast<std::size_t>(promise - 1)).breaches; }
    /// "double_dispatch=0 inversions=0 ..." with the counts that were found.
    std::string counts() const;
    /// One line per promise, with the trace of one breach where it was not kept.
    void print(std::ostream& out) const;
};

/// Throws error(not_found) or error(invalid_argument) for a history that cannot be read.
promise_report checkHistories(const std::vector<std::string>& paths);
promise_report checkHistories(const load::history& merged);

} // namespace carawaylink::bench
