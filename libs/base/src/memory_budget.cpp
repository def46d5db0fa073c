#include "base/memory_budget.h"

#include <algorithm>
#include <utility>

namespace carawaylink {

memory_budget::memory_budget(std::size_t maxBytes, std::function<void(std::function<void()>)> defer)
    : m_maxBytes(maxBytes)
    , m_defer(std::move(defer))
{
}

void memory_budget::change(holding& holder, std::size_t before, std::size_t after)
{
    m_usedBytes = m_usedBytes - before + after;
    if (before == 0)
        m_holders.insert(&holder);
    else if (after == 0)
        m_holders.erase(&holder);
    if (m_usedBytes <= m_maxBytes || std::exchange(m_isScheduled, true))
        return;
    m_defer([this] { endLargestHolders(); });
}

void memory_budget::endLargestHolders()
{
    m_isScheduled = false;
    while (m_usedBytes > m_maxBytes) {
        auto& largest = **std::ranges::max_element(m_holders, {}, [](const holding* holder) { return holder->bytes(); });
        if (m_onExcess)
            m_onExcess({ largest.m_kind, largest.bytes(), m_usedBytes });
        // Ending the holder may destroy it. Its bytes are freed now or, at the latest, when its connection has closed.
        const auto end = largest.m_end;
        largest.set(0);
        end();
    }
}

memory_budget::holding::holding(memory_budget* budget, std::string_view kind, std::function<void()> end)
    : m_budget(budget)
    , m_kind(kind)
    , m_end(std::move(end))
{
}

memory_budget::holding::~holding()
{
    set(0);
}

void memory_budget::holding::set(std::size_t bytes)
{
    const auto before = std::exchange(m_bytes, m_budget ? bytes : 0);
    if (before != m_bytes)
        m_budget->change(*this, before, m_bytes);
}

} // namespace carawaylink
