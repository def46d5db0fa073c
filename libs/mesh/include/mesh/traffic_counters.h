#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string_view>

namespace carawaylink {

/// Message and byte counts of one direction by kind; written by the control thread and read by the metrics page.
class traffic_counters {
public:
    static constexpr std::size_t maxKinds = 32;

    struct counter {
        std::atomic<std::uint64_t> messages = 0;
        std::atomic<std::uint64_t> bytes = 0;
    };

    void record(std::size_t kind, std::size_t bytes)
    {
        auto& entry = m_counters[kind < maxKinds ? kind : maxKinds - 1];
        entry.messages.fetch_add(1, std::memory_order_relaxed);
        entry.bytes.fetch_add(bytes, std::memory_order_relaxed);
    }

    const counter& at(std::size_t kind) const { return m_counters[kind]; }

private:
    std::array<counter, maxKinds> m_counters;
};

} // namespace carawaylink
