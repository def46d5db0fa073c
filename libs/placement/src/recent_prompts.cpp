#include "placement/recent_prompts.h"

#include <algorithm>
#include <utility>

namespace carawaylink::placement {

void recent_prompts::add(answered_prompt prompt)
{
    if (prompt.parts.empty())
        return;
    std::erase_if(m_prompts, [&](const answered_prompt& earlier) {
        return earlier.replica == prompt.replica && std::ranges::find(prompt.parts, earlier.parts.back()) != prompt.parts.end();
    });
    m_prompts.push_back(std::move(prompt));
    if (m_prompts.size() > maxPrompts)
        m_prompts.pop_front();
}

void recent_prompts::remove(const discovery::replica_id& replica)
{
    std::erase_if(m_prompts, [&](const answered_prompt& prompt) { return prompt.replica == replica; });
}

} // namespace carawaylink::placement
