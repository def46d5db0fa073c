#pragma once

#include <array>
#include <bit>
#include <cstdint>
#include <utility>
#include <vector>

namespace carawaylink::load {

/// Counts of durations in log-linear buckets: 32 per power of two, so a percentile is at most 3.2% above the true value.
class latency_histogram {
public:
    void add(std::int64_t microseconds, std::int64_t count = 1)
    {
        m_counts[index(microseconds)] += count;
        m_total += count;
    }

    void merge(const latency_histogram& other)
    {
        for (std::size_t i = 0; i < m_counts.size(); ++i)
            m_counts[i] += other.m_counts[i];
        m_total += other.m_total;
    }

    std::int64_t total() const { return m_total; }

    /// Upper bound in microseconds of the bucket in which the share (0 to 1) of the values is reached; 0 where empty.
    std::int64_t percentile(double share) const
    {
        const auto wanted = static_cast<double>(m_total) * share;
        std::int64_t seen = 0;
        for (std::size_t i = 0; i < m_counts.size(); ++i) {
            seen += m_counts[i];
            if (m_counts[i] > 0 && static_cast<double>(seen) >= wanted)
                return upperBound(i);
        }
        return 0;
    }

    /// (Upper bound, count) of each bucket in use.
    std::vector<std::pair<std::int64_t, std::int64_t>> buckets() const
    {
        std::vector<std::pair<std::int64_t, std::int64_t>> result;
        for (std::size_t i = 0; i < m_counts.size(); ++i) {
            if (m_counts[i] > 0)
                result.emplace_back(upperBound(i), m_counts[i]);
        }
        return result;
    }

private:
    static constexpr unsigned linearBits = 5;
    static constexpr std::int64_t linear = 1 << linearBits;
    // Covers 2^40 microseconds, about 12 days.
    static constexpr std::size_t bucketCount = (40 - linearBits + 1) * linear;

    static std::size_t index(std::int64_t value)
    {
        if (value < linear)
            return static_cast<std::size_t>(value < 0 ? 0 : value);
        const auto shift = static_cast<unsigned>(std::bit_width(static_cast<std::uint64_t>(value))) - linearBits - 1;
        const auto position = static_cast<std::size_t>(shift * linear + (value >> shift));
        return position < bucketCount ? position : bucketCount - 1;
    }

    static std::int64_t upperBound(std::size_t index)
    {
        const auto position = static_cast<std::int64_t>(index);
        if (position < 2 * linear)
            return position;
        const auto shift = position / linear - 1;
        return ((position - shift * linear + 1) << shift) - 1;
    }

    std::array<std::int64_t, bucketCount> m_counts {};
    std::int64_t m_total = 0;
};

} // namespace carawaylink::load
