#include "store_sync.h"

#include <algorithm>

// The copies that nodes ask of each other for what they cannot read from the store.
namespace carawaylink::gateway {

namespace {

constexpr std::size_t copySources = 2;

} // namespace

bool store_sync::needsConfigurationFromPeers(monotonic_time now) const
{
    return missesConfiguration(now) && m_configurationFollower->awaitsAnswerSince(now - copyRequestInterval, now);
}

// The sender is this node's parent in the tree of the update, so that no node is asked by more than its children, however large the fleet.
void store_sync::requestFirstCopy(const node_id& sender, const log_position& position, monotonic_time asOf, monotonic_time now)
{
    m_awaitedPosition = position;
    m_awaitedAsOf = asOf;
    if (now - m_lastFirstCopyRequestAt < copyRequestInterval)
        return;
    m_lastFirstCopyRequestAt = now;
    m_log.event("first_copy_requested").field("peer", sender);
    requestCopy({ &sender, 1 }, "no_endpoints", configuration_transfer::firstPartBytes, now);
}

void store_sync::requestCopyFromAny(monotonic_time now)
{
    if (m_transfer.isActive(now))
        return;
    auto nodes = m_members.reachable();
    std::erase(nodes, m_self);
    std::ranges::shuffle(nodes, m_random);
    nodes.resize(std::min(nodes.size(), copySources));
    requestCopy(nodes, reachesStore() ? "configuration_missing" : "store_unreachable", configuration_transfer::firstPartBytes, now);
}

void store_sync::requestCopy(std::span<const node_id> sources, std::string_view reason, std::uint32_t partBytes, monotonic_time now)
{
    m_lastCopyRequestAt = now;
    for (const auto& source : sources) {
        m_log.event("copy_requested", reason)
            .field("peer", source)
            .field("reason", reason)
            .field("known", m_handlers.version())
            .field("mentioned", m_mentionedVersion)
            .field("part_version", m_transfer.version())
            .field("part_offset", m_transfer.offset());
    }
    peer::copy_requestT request;
    request.history = endpointPosition().history;
    request.endpoints_offset = endpointPosition().offset;
    request.configuration_version = m_handlers.version().value;
    request.part_bytes = partBytes;
    request.part_version = m_transfer.version().value;
    request.part_offset = m_transfer.offset();
    peer::envelopeT message;
    message.body.Set(std::move(request));
    m_handlers.send(sources, std::move(message));
}

// Endpoints that came in a copy are as current as the update that named their position.
bool store_sync::hasCurrentEndpoints(monotonic_time now) const
{
    return hasEndpoints() && (reachesStore() || now - m_updatedAsOf < maxEndpointAge);
}

void store_sync::receive(const node_id& sender, const peer::copy_requestT& request)
{
    if (!isLoaded() && std::ranges::find(m_relayedUnloaded, sender) != m_relayedUnloaded.end())
        m_waiting[sender] = { std::chrono::steady_clock::now(), request };
    answer(sender, request, std::chrono::steady_clock::now());
}

void store_sync::answerWaiting()
{
    const auto now = std::chrono::steady_clock::now();
    for (const auto& [node, waiting] : std::exchange(m_waiting, {})) {
        // A node that still lacks the endpoints has repeated its request by then.
        if (now - waiting.first < copyRequestInterval)
            answer(node, waiting.second, now);
    }
}

void store_sync::answer(const node_id& sender, const peer::copy_requestT& request, monotonic_time now)
{
    const bool isFurtherPart = request.part_offset > 0;
    const bool sendsConfiguration = m_handlers.version().value > request.configuration_version && m_configurationRecord.value;
    const bool sendsEndpoints
        = !isFurtherPart && hasCurrentEndpoints(now) && endpointPosition() > log_position { request.history, request.endpoints_offset };
    if (!sendsConfiguration && !sendsEndpoints)
        return;
    peer::store_copyT copy;
    if (!isFurtherPart) {
        for (auto& rules : m_handlers.rules())
            copy.rollouts.push_back(std::make_unique<peer::rollout_rulesT>(std::move(rules)));
    }
    if (sendsConfiguration)
        fillConfiguration(copy, request);
    copy.history = endpointPosition().history;
    if (sendsEndpoints)
        m_endpoints.fillCopy(copy, endpointPosition().offset, now);
    m_log.event("copy_sent")
        .field("peer", sender)
        .field("version", copy.configuration_version)
        .field("offset", copy.configuration_offset)
        .field("bytes", copy.configuration.size())
        .field("endpoints", copy.endpoints.size());
    peer::envelopeT message;
    message.body.Set(std::move(copy));
    m_handlers.send({ &sender, 1 }, std::move(message));
}

void store_sync::fillConfiguration(peer::store_copyT& copy, const peer::copy_requestT& request) const
{
    const std::string_view whole = *m_configurationRecord.value;
    copy.configuration_key = m_configurationRecord.key;
    copy.configuration_version = m_handlers.version().value;
    if (request.part_bytes == 0) {
        copy.configuration.assign(whole.begin(), whole.end());
        return;
    }
    copy.configuration_size = static_cast<std::uint32_t>(whole.size());
    if (request.part_version == copy.configuration_version && request.part_offset < whole.size())
        copy.configuration_offset = request.part_offset;
    const auto part = whole.substr(copy.configuration_offset, request.part_bytes);
    copy.configuration.assign(part.begin(), part.end());
}

void store_sync::receiveConfiguration(const node_id& sender, const peer::store_copyT& copy, monotonic_time now)
{
    // A node of an older version sends the whole.
    if (copy.configuration_size == 0) {
        applyConfiguration({ copy.configuration_key, std::string(copy.configuration.begin(), copy.configuration.end()) },
            configuration_source::copy, sender);
        return;
    }
    const configuration_transfer::part part { config_version { copy.configuration_version }, copy.configuration_size,
        copy.configuration_offset, copy.configuration };
    switch (m_transfer.receive(sender, part, m_handlers.version(), now)) {
    case configuration_transfer::step::ignored:
        break;
    case configuration_transfer::step::incomplete:
        if (!m_configurationFollower->isReceiving(now))
            requestCopy({ &sender, 1 }, "next_part", configuration_transfer::partBytes, now);
        break;
    case configuration_transfer::step::complete:
        applyConfiguration({ copy.configuration_key, m_transfer.take() }, configuration_source::copy, sender);
        break;
    }
}

void store_sync::receive(const node_id& sender, const peer::store_copyT& copy)
{
    applyRules(copy.rollouts);
    if (!copy.configuration_key.empty())
        receiveConfiguration(sender, copy, std::chrono::steady_clock::now());
    const log_position position { copy.history, copy.endpoints_offset };
    if (copy.endpoints.empty() || position <= endpointPosition())
        return;
    const bool isFirst = !isLoaded();
    m_endpointFollower->skipTo(position);
    if (isFirst && position >= m_awaitedPosition)
        m_updatedAsOf = std::max(m_updatedAsOf, m_awaitedAsOf);
    if (m_endpoints.applyCopy(copy, m_endpointFollower->isReachable(), std::chrono::steady_clock::now()))
        applyEndpoints();
}

} // namespace carawaylink::gateway
