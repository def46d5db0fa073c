#include "quarantine/recent_answers.h"

#include <chrono>
#include <utility>

namespace carawaylink::quarantine {

namespace {

constexpr auto generationTime = std::chrono::seconds(30);
constexpr std::size_t maxPartsPerGeneration = 8192;

} // namespace

void recent_answers::record(part_hash part, monotonic_time now)
{
    if (now - m_currentSince > generationTime || m_current.size() >= maxPartsPerGeneration) {
        m_previous = std::exchange(m_current, {});
        m_currentSince = now;
    }
    m_current[part] = now;
}

std::optional<monotonic_time> recent_answers::lastAnswer(part_hash part) const
{
    for (const auto* generation : { &m_current, &m_previous }) {
        if (const auto found = generation->find(part); found != generation->end())
            return found->second;
    }
    return std::nullopt;
}

} // namespace carawaylink::quarantine
