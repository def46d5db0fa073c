#include "peer_state_table.h"

#include <algorithm>
#include <ranges>

namespace carawaylink::gateway {

namespace {

// A node that stopped reporting may still serve callers behind a network partition and use the quotas there.
constexpr auto possibleNodeTimeout = std::chrono::seconds(20);
// Peers whose first report arrives within this time after process start report usage that is already deducted from the adopted remaining
// quota.
constexpr auto usageAdoptionTime = std::chrono::seconds(3);

} // namespace

peer_state_table::peer_state_table(std::string ownPeerAddress, request_dispatcher& target, decision_log& log)
    : m_ownAddress(std::move(ownPeerAddress))
    , m_dispatcher(target)
    , m_log(log)
    , m_startedAt(std::chrono::steady_clock::now())
{
}

void peer_state_table::applyReport(const peer::node_reportT& report, monotonic_time now)
{
    if (report.node == m_ownAddress)
        return;
    auto& state = m_peers[report.node];
    if (state.incarnation != report.incarnation) {
        state.usage.clear();
        clearReservations(state);
        m_hasNewPeers = true;
        state.firstReportAt = now;
        state.incarnation = report.incarnation;
    }
    state.lastReportAt = now;
    state.frontend = report.frontend;
    state.isReady = report.ready;
    state.isLeaving = report.leaving;
    state.reachesStore = report.store_reachable;
    state.version = config_version { report.configuration_version };
    state.endpoints = { now - std::chrono::milliseconds(report.endpoints_age_ms), report.endpoints_offset };
    state.endpointsChangedOffset = report.endpoints_changed_offset;
    if (!std::exchange(state.isLive, true))
        m_log.event("peer_live").field("peer", report.node).field("incarnation", report.incarnation);
    applyUsage(state, report);
    std::vector<peer_load> loads;
    for (const auto& load : report.loads)
        loads.push_back(
            { load.replica(), { load.running(), tokens { load.unread_tokens() }, tokens { load.memory_units() * tokensPerMemoryUnit } } });
    m_dispatcher.setPeerLoads(node_id { report.node }, loads);
    std::vector<measured_speed> speeds;
    for (const auto& speed : report.speeds)
        speeds.push_back({ speed.replica(), { speed.base_ms(), speed.ms_per_token(), speed.ms_per_event(), speed.samples() } });
    m_dispatcher.setPeerSpeeds(node_id { report.node }, speeds);
}

void peer_state_table::applyUsage(peer_state& state, const peer::node_reportT& report)
{
    for (const auto& entry : report.usage) {
        const auto [known, isFirst] = state.usage.try_emplace(entry.team(), 0.0);
        // Usage from before this process started is already deducted from the remaining quota that it adopts.
        const bool isAlreadyDeducted = isFirst && !m_dispatcher.isFirstStart() && state.firstReportAt - m_startedAt < usageAdoptionTime;
        if (entry.taken() > known->second && !isAlreadyDeducted)
            m_dispatcher.addPeerUsage(entry.team(), entry.taken() - known->second);
        known->second = std::max(known->second, entry.taken());
        auto& reserved = state.reserved[entry.team()];
        m_dispatcher.addPeerReserved(entry.team(), entry.reserved() - std::exchange(reserved, entry.reserved()));
        m_dispatcher.adoptQuota(entry.team(), entry.level());
    }
}

void peer_state_table::clearReservations(peer_state& state)
{
    for (const auto& [team, units] : state.reserved)
        m_dispatcher.addPeerReserved(team, -units);
    state.reserved.clear();
}

void peer_state_table::refresh(duration timeout, monotonic_time now)
{
    std::set<std::string> possible { m_ownAddress };
    std::size_t rank = 0;
    std::size_t live = 1;
    std::size_t reporting = 1;
    for (auto& [address, state] : m_peers) {
        if (state.isLive && now - state.lastReportAt > timeout) {
            state.isLive = false;
            m_dispatcher.removePeer(node_id { address });
            clearReservations(state);
            m_log.event("peer_silent")
                .field("peer", address)
                .field("silence_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - state.lastReportAt).count());
        }
        // A node that reported that it drains and stopped reporting has terminated.
        const bool hasTerminated = state.isLeaving && !state.isLive;
        if (now - state.lastReportAt < possibleNodeTimeout && !hasTerminated)
            possible.insert(address);
        if (state.isLive)
            ++reporting;
        if (!state.isLive || state.isLeaving)
            continue;
        ++live;
        if (address < m_ownAddress)
            ++rank;
    }
    if (now - m_startedAt < possibleNodeTimeout) {
        std::ranges::copy_if(m_listedAddresses, std::inserter(possible, possible.end()), [this](const std::string& address) {
            const auto peer = m_peers.find(address);
            return peer == m_peers.end() || !peer->second.isLeaving || peer->second.isLive;
        });
    }
    std::erase_if(m_peers, [&](const auto& entry) { return now - entry.second.lastReportAt > 10 * possibleNodeTimeout; });
    m_size = { rank, live, reporting, std::max(possible.size(), reporting) };
    m_dispatcher.setFleetSize(m_size);
}

std::vector<std::string> peer_state_table::readyFrontends() const
{
    std::vector<std::string> result;
    for (const auto& [address, state] : m_peers) {
        if (state.isLive && state.isReady && !state.isLeaving)
            result.push_back(state.frontend);
    }
    return result;
}

std::vector<std::string> peer_state_table::liveAddresses() const
{
    std::vector<std::string> result;
    for (const auto& [address, state] : m_peers) {
        if (state.isLive)
            result.push_back(address);
    }
    return result;
}

std::vector<std::string> peer_state_table::peersWithoutStore() const
{
    std::vector<std::string> result;
    for (const auto& [address, state] : m_peers) {
        if (state.isLive && !state.reachesStore)
            result.push_back(address);
    }
    return result;
}

std::size_t peer_state_table::storeReadersBefore() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_peers, [this](const auto& entry) {
        return entry.first < m_ownAddress && entry.second.isLive && entry.second.reachesStore && !entry.second.isLeaving;
    }));
}

endpoint_log_position peer_state_table::latestEndpointPosition(std::uint64_t knownOffset) const
{
    endpoint_log_position newest;
    for (const auto& [address, state] : m_peers) {
        if (state.isLive && state.endpointsChangedOffset <= knownOffset && state.endpoints.asOf > newest.asOf)
            newest = state.endpoints;
    }
    return newest;
}

config_version peer_state_table::peerVersion(const std::string& address) const
{
    const auto found = m_peers.find(address);
    return found == m_peers.end() ? config_version {} : found->second.version;
}

} // namespace carawaylink::gateway
