#pragma once

#include "discovery/endpoint_table.h"
#include "placement/prompt_parts.h"

#include <deque>

namespace carawaylink::placement {

/// A prompt that an endpoint has prefilled, and the start of its process in Unix milliseconds.
struct answered_prompt {
    discovery::replica_id replica;
    std::int64_t startedAtMs = 0;
    prompt_parts parts;
};

/// The prompts of a node that endpoints answered last, from which a new owner learns what they hold. Prompts that a later one of the same
/// endpoint continues are left out.
class recent_prompts {
public:
    static constexpr std::size_t maxPrompts = 32;

    void add(answered_prompt prompt);
    /// The endpoint may have lost its memory.
    void remove(const discovery::replica_id& replica);
    /// From the oldest to the newest.
    const std::deque<answered_prompt>& all() const { return m_prompts; }

private:
    std::deque<answered_prompt> m_prompts;
};

} // namespace carawaylink::placement
