#include "crash_detector.h"

#include "endpoint_probe.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace carawaylink::gateway {

crash_detector::crash_detector(boost::asio::io_context& context, crash_handler onCrash)
    : m_context(context)
    , m_onCrash(std::move(onCrash))
    , m_alive(std::make_shared<crash_detector*>(this))
{
}

void crash_detector::recordLoss(
    const discovery::replica_id& replica, const endpoint_id& address, const service_id& service, const lost_requests& lost)
{
    const auto [suspected, isNew] = m_suspected.try_emplace(replica, suspected_crash { service, {} });
    auto& all = suspected->second.lost;
    std::ranges::copy(lost.unansweredParts, std::back_inserter(all.unansweredParts));
    std::ranges::copy(lost.requests, std::back_inserter(all.requests));
    if (!isNew)
        return;
    probeEndpoint(m_context, address, [this, replica, alive = std::weak_ptr(m_alive)](bool hasEnded) {
        if (alive.expired())
            return;
        const auto probed = m_suspected.extract(replica);
        if (hasEnded)
            m_onCrash(replica, probed.mapped().service, probed.mapped().lost);
    });
}

} // namespace carawaylink::gateway
