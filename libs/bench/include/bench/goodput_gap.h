#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace carawaylink::bench {

struct gap_settings {
    std::chrono::milliseconds bucket { 100 };
    /// Windows of this many buckets are compared, since single buckets differ by chance.
    std::size_t window = 5;
    std::chrono::milliseconds before { 3000 };
    /// Time after the fault that is looked at.
    std::chrono::milliseconds horizon { 6000 };
    double share = 0.95;
};

/// Time from the fault to the begin of the first window from which on all windows have at least `share` of the goodput before
/// the fault; zero where no window falls below it, the horizon where goodput stays below. Completions are times in microseconds,
/// in any order.
std::chrono::milliseconds goodputGap(
    const std::vector<std::int64_t>& completionsUs, std::int64_t faultUs, const gap_settings& settings = {});

} // namespace carawaylink::bench
