#include "bench/goodput_gap.h"

#include <algorithm>
#include <numeric>

namespace carawaylink::bench {

std::chrono::milliseconds goodputGap(const std::vector<std::int64_t>& completionsUs, std::int64_t faultUs, const gap_settings& settings)
{
    const auto microseconds = [](std::chrono::milliseconds value) { return std::chrono::microseconds(value).count(); };
    const auto bucketUs = microseconds(settings.bucket);
    const auto total = static_cast<std::size_t>(settings.horizon / settings.bucket);
    std::vector<std::int64_t> buckets(total);
    std::int64_t before = 0;
    for (const auto time : completionsUs) {
        if (time >= faultUs - microseconds(settings.before) && time < faultUs)
            ++before;
        else if (time >= faultUs && (time - faultUs) / bucketUs < static_cast<std::int64_t>(total))
            ++buckets[static_cast<std::size_t>((time - faultUs) / bucketUs)];
    }
    const auto perBucket = static_cast<double>(before) * static_cast<double>(bucketUs) / static_cast<double>(microseconds(settings.before));
    const auto needed = settings.share * perBucket * static_cast<double>(settings.window);
    std::size_t recovered = 0;
    for (std::size_t first = 0; first + settings.window <= total; ++first) {
        const auto begin = buckets.begin() + static_cast<std::ptrdiff_t>(first);
        const auto sum = std::accumulate(begin, begin + static_cast<std::ptrdiff_t>(settings.window), std::int64_t { 0 });
        if (static_cast<double>(sum) < needed)
            recovered = first + 1;
    }
    if (recovered + settings.window > total)
        return settings.horizon;
    return settings.bucket * static_cast<std::int64_t>(recovered);
}

} // namespace carawaylink::bench
