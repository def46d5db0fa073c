#pragma once

#include "quarantine/prompt_part.h"

#include <optional>
#include <unordered_map>

namespace carawaylink::quarantine {

/// When an endpoint last began to answer a request with a prompt part, at one node. Remembers a bounded number of parts, for half a
/// minute or more unless there are too many.
class recent_answers {
public:
    void record(part_hash part, monotonic_time now);
    /// Returns nullopt if no answer is remembered.
    std::optional<monotonic_time> lastAnswer(part_hash part) const;

private:
    std::unordered_map<part_hash, monotonic_time> m_current;
    /// What m_current held before it was full or too old.
    std::unordered_map<part_hash, monotonic_time> m_previous;
    monotonic_time m_currentSince {};
};

} // namespace carawaylink::quarantine
