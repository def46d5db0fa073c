#pragma once

#include "base/ids.h"

#include <deque>
#include <utility>

namespace carawaylink {

/// A value that readers see as it was some time ago.
template <typename Value> class lagged_value {
public:
    /// Values older than keep are forgotten; changes closer together than resolution count as one.
    lagged_value(duration keep, duration resolution)
        : m_keep(keep)
        , m_resolution(resolution)
    {
    }

    void push(monotonic_time at, Value value)
    {
        if (!m_values.empty() && at - m_values.back().first < m_resolution) {
            m_values.back().second = std::move(value);
            return;
        }
        m_values.emplace_back(at, std::move(value));
        while (m_values.size() > 1 && m_values[1].first < at - m_keep)
            m_values.pop_front();
    }

    /// Returns the value in effect at that time, or the oldest known one.
    Value read(monotonic_time at) const
    {
        for (auto entry = m_values.rbegin(); entry != m_values.rend(); ++entry) {
            if (entry->first <= at)
                return entry->second;
        }
        return m_values.empty() ? Value {} : m_values.front().second;
    }

private:
    duration m_keep;
    duration m_resolution;
    std::deque<std::pair<monotonic_time, Value>> m_values;
};

} // namespace carawaylink
