#include "request_dispatcher.h"

#include "base/time.h"
#include "endpoint_probe.h"
#include "exchange.h"

#include <algorithm>
#include <utility>

// Whether endpoints can be reached from this node, and what follows from it.
namespace carawaylink::gateway {

namespace {

// Above a round trip on a loaded link, and short enough that callers leave a node without a path in time.
constexpr auto pathProbeTimeout = std::chrono::milliseconds(150);
// Nodes that are asked whether they can connect to endpoints.
constexpr std::size_t pathPeers = 4;
// Endpoints to which a node connects for one that asks.
constexpr std::size_t probesForPeer = 2;

} // namespace

path_monitor& request_dispatcher::pathTo(const service_id& service)
{
    const auto found = m_paths.find(service);
    return found != m_paths.end() ? found->second : m_paths.try_emplace(service, m_random()).first->second;
}

void request_dispatcher::recordPathAnswer(const service_id& service, bool isNewConnection)
{
    pathTo(service).recordAnswer(isNewConnection, std::chrono::steady_clock::now());
}

void request_dispatcher::updatePaths(monotonic_time now)
{
    std::map<service_id, monotonic_time> waitingSince;
    for (const auto& [id, entry] : m_exchanges) {
        if (const auto since = entry->waitsAtEndpointSince()) {
            const auto [position, inserted] = waitingSince.try_emplace(entry->service(), *since);
            position->second = std::min(position->second, *since);
        }
    }
    for (auto& [service, path] : m_paths) {
        const auto found = waitingSince.find(service);
        updatePath(service, path, found == waitingSince.end() ? std::nullopt : std::optional(found->second), now);
    }
    const auto isLost = [](const auto& entry) { return entry.second.state() == path_state::lost; };
    const auto lost = std::ranges::count_if(m_paths, isLost);
    const auto known = std::ranges::count_if(m_paths, [](const auto& entry) { return entry.second.canLose(); });
    // Callers do not know the services: a node leaves them only if it can serve none of them.
    const bool isPathLost = lost > 0 && lost == known;
    if (lost > 0 && !isPathLost) {
        for (auto& [service, path] : m_paths)
            path.suspect();
    }
    if (std::exchange(m_isPathLost, isPathLost) != isPathLost)
        m_onPathChanged(isPathLost);
}

void request_dispatcher::updatePath(
    const service_id& service, path_monitor& path, std::optional<monotonic_time> waitingSince, monotonic_time now)
{
    const auto before = path.state();
    path.setWaitingSince(waitingSince);
    probe(path.takeProbes(now), [this, service](bool isConnected) {
        const auto known = pathTo(service).state();
        pathTo(service).recordProbe(isConnected, std::chrono::steady_clock::now());
        logPath(service, known);
    });
    if (path.takePeerQuery())
        askPeersForPath(service);
    logPath(service, before);
    if (path.state() == path_state::lost)
        endWithoutPath(service, now);
}

void request_dispatcher::logPath(const service_id& service, path_state before)
{
    const auto& path = pathTo(service);
    if (path.state() == before)
        return;
    const auto answered = path.answeredAgo(std::chrono::steady_clock::now());
    m_log.event("path_changed", pathStateNames.name(path.state()))
        .field("service", service)
        .field("state", pathStateNames.name(path.state()))
        .field("before", pathStateNames.name(before))
        .field("answered_ms", answered ? wholeMilliseconds(*answered) : -1)
        .field("active", m_exchanges.size());
}

void request_dispatcher::probe(const std::vector<endpoint_id>& addresses, std::function<void(bool isConnected)> onResult)
{
    for (const auto& address : addresses) {
        probePath(m_context, address, pathProbeTimeout, [alive = std::weak_ptr(m_alive), onResult](bool isConnected) {
            if (!alive.expired())
                onResult(isConnected);
        });
    }
}

void request_dispatcher::askPeersForPath(const service_id& service)
{
    auto nodes = m_members->reachable();
    std::erase(nodes, m_self);
    std::ranges::shuffle(nodes, m_random);
    nodes.resize(std::min(nodes.size(), pathPeers));
    for (const auto& node : nodes) {
        peer::path_queryT query;
        query.service = service.value;
        peer::envelopeT message;
        message.body.Set(std::move(query));
        send(node, std::move(message));
    }
}

void request_dispatcher::answerPathQuery(const node_id& node, const service_id& service)
{
    const auto path = m_paths.find(service);
    if (path == m_paths.end())
        return;
    probe(path->second.sample(probesForPeer), [this, node, service](bool isConnected) {
        if (!isConnected)
            return;
        peer::path_replyT reply;
        reply.service = service.value;
        peer::envelopeT message;
        message.body.Set(std::move(reply));
        send(node, std::move(message));
    });
}

void request_dispatcher::endWithoutPath(const service_id& service, monotonic_time now)
{
    std::vector<std::shared_ptr<exchange>> running;
    for (const auto& [id, entry] : m_exchanges) {
        if (entry->service() == service)
            running.push_back(entry);
    }
    for (const auto& entry : running)
        entry->endWithoutPath(now);
}

} // namespace carawaylink::gateway
