#include "placement/slot_client.h"

#include <algorithm>
#include <iterator>

namespace carawaylink::placement {

void slot_client::openSession(std::uint32_t pool, monotonic_time now)
{
    auto& link = m_links[pool];
    link.session = ++m_lastSession;
    link.lastCall = 0;
    link.lastReply = 0;
    link.isOpen = true;
    link.next = {};
    link.next.wantsReply = true;
    for (auto& [id, entry] : m_running) {
        if (entry.pool != pool)
            continue;
        link.next.adopted.push_back(entry.request);
        entry.reportedEvents = entry.events;
    }
    std::ranges::copy_if(m_recentPrompts.all(), std::back_inserter(link.next.answered),
        [&](const answered_prompt& prompt) { return poolOfReplica(prompt.replica) == pool; });
    for (const auto& [id, entry] : m_waiting) {
        if (entry.pool == pool)
            link.next.requests.push_back(entry.request);
    }
    for (const auto& [replica, perSecond] : m_local.requestLimits()) {
        if (poolOfReplica(replica) == pool)
            link.next.limits.push_back({ replica, perSecond });
    }
    for (const auto& replica : m_local.withNotice(now)) {
        if (poolOfReplica(replica) == pool)
            link.next.notices.push_back(*noticeOf(replica, now));
    }
}

void slot_client::collectProgress(std::uint32_t pool)
{
    for (auto& [id, entry] : m_running) {
        if (entry.pool != pool || entry.events <= entry.reportedEvents)
            continue;
        entry.reportedEvents = entry.events;
        m_links[pool].next.progress.push_back({ id, entry.events });
    }
}

} // namespace carawaylink::placement
