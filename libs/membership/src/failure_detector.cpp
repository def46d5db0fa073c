#include "membership/failure_detector.h"

#include "base/error.h"
#include "detector.h"
#include "membership/packet_size.h"

#include <algorithm>
#include <utility>

namespace carawaylink {
namespace {

// A state exchange among 750 members takes about 100 datagrams; joins above this rate are dropped, and the sender retries with another
// member.
constexpr unsigned maxJoinAnswersPerSecond = 20;
constexpr duration firstExchangeTimeout = std::chrono::seconds(1);
constexpr std::size_t maxDepartureNotifications = 16;
// Bounds the memory for probes made on behalf of others; at 4 packets/s, a member handles only a few at a time.
constexpr std::size_t maxRelayedProbes = 256;

} // namespace

failure_detector::implementation::implementation(member_update initial, failure_detector_settings initialSettings, std::uint64_t seed)
    : self(std::move(initial))
    , settings(initialSettings)
    , random(seed)
{
    self.state = member_state::alive;
    lastSequence = static_cast<std::uint32_t>(random());
}

std::vector<membership_action> failure_detector::implementation::takeActions()
{
    return std::exchange(actions, {});
}

void failure_detector::implementation::send(packet_kind kind, std::uint32_t sequence, const node_id& to, const node_id& target)
{
    membership_packet packet { kind, sequence, self, target, {} };
    // A suspect or dead member is always informed of its state, regardless of the queued gossip, so that it can refute.
    const auto found = members.find(to);
    if (found != members.end() && found->second.info.state != member_state::alive)
        packet.updates.push_back(compact(found->second.info));
    if (found != members.end() && found->second.acknowledgedDescription && kind != packet_kind::join)
        packet.sender = compact(std::move(packet.sender));
    gossip.fill(packet, to, settings.maxUpdates, transmissionLimit(liveMembers()));
    actions.push_back(send_packet { to, std::move(packet) });
}

std::uint32_t failure_detector::implementation::ping(const node_id& to)
{
    send(packet_kind::ping, ++lastSequence, to);
    return lastSequence;
}

void failure_detector::implementation::receive(monotonic_time now, const membership_packet& packet)
{
    const auto& from = packet.sender.node;
    if (from == self.node || from.value.empty())
        return;
    const auto known = members.find(from);
    if (known != members.end() && packet.sender.run < known->second.info.run) {
        if (!settings.renewsIncarnation)
            return;
        // Either a late datagram of an earlier process, or a new process whose clock was set back and that must learn of its
        // predecessor's incarnation.
        membership_packet answer { packet_kind::ack, packet.sequence, self, {}, { compact(known->second.info) } };
        actions.push_back(send_packet { from, std::move(answer) });
        return;
    }
    const bool isNew = known == members.end();
    const bool wasDead = dead.contains(from);
    const auto refutation = self.refutation;
    apply(now, packet.sender, update_source::direct);
    if (const auto found = members.find(from); found != members.end()) {
        auto& record = found->second;
        record.lastHeard = now;
        record.acknowledgedDescription
            = packet.kind == packet_kind::ack || (record.acknowledgedDescription && packet.kind != packet_kind::join);
    }
    const auto source = packet.kind == packet_kind::join_answer ? update_source::exchange : update_source::gossip;
    for (const auto& update : packet.updates) {
        if (encodedSize(update) <= maxUpdateBytes)
            apply(now, update, source);
    }
    // A previously unknown member may belong to a separately started group, or may have omitted its description because it assumes that
    // this process knows it. Fetching its view resolves both: the join makes it describe itself. A dead member that returns while others
    // are still dead may be the first one reachable again after a partition.
    const bool unknownGroup = isNew && initialSyncDone && packet.kind != packet_kind::join && packet.sender.state == member_state::alive;
    if (unknownGroup || (wasDead && !dead.contains(from) && !dead.empty()))
        pullFromUnknownGroup(now, from);

    switch (packet.kind) {
    case packet_kind::ping:
        send(packet_kind::ack, packet.sequence, from);
        break;
    case packet_kind::ping_request:
        // Confirms to the requester that its request arrived, whether or not the target answers.
        send(packet_kind::ack, packet.sequence, from);
        if (relayed.size() < maxRelayedProbes && packet.target != self.node) {
            const auto sequence = ping(packet.target);
            relayed.emplace(sequence, relayed_probe { from, packet.sequence, packet.target, now + 10 * settings.probeTimeout });
        }
        break;
    case packet_kind::ack:
        receiveAck(now, packet);
        break;
    case packet_kind::join:
        answerJoin(now, packet);
        break;
    case packet_kind::join_answer:
        if (!joined)
            nextPull = now + firstExchangeTimeout;
        joined = true;
        exchangeExpected = std::max<std::size_t>(exchangeExpected, packet.sequence);
        exchangeReceived += packet.updates.size();
        break;
    }
    // The ack to a ping already carried the refutation; other kinds of packets have no reply that carries it.
    if (self.refutation != refutation && packet.kind != packet_kind::ping)
        ping(from);
}

void failure_detector::implementation::receiveAck(monotonic_time now, const membership_packet& packet)
{
    const auto& from = packet.sender.node;
    if (const auto found = relayed.find(packet.sequence); found != relayed.end() && found->second.target == from) {
        if (found->second.expires >= now)
            send(packet_kind::ack, found->second.requesterSequence, found->second.requester, found->second.target);
        relayed.erase(found);
        return;
    }
    if (!current || current->sequence != packet.sequence)
        return;
    if (from == current->target || packet.target == current->target) {
        current.reset();
        healthScore -= healthScore > 0 ? 1 : 0;
    } else if (std::ranges::find(current->respondingRelays, from) == current->respondingRelays.end()) {
        current->respondingRelays.push_back(from);
    }
}

/// Sends all live members in as many datagrams as needed; the sequence number of the replies is the total number of members in them.
void failure_detector::implementation::answerJoin(monotonic_time now, const membership_packet& packet)
{
    if (joinAnswerWindow + std::chrono::seconds(1) <= now) {
        joinAnswerWindow = now;
        joinAnswersInWindow = 0;
    }
    if (++joinAnswersInWindow > maxJoinAnswersPerSecond || self.state == member_state::left)
        return;
    const auto& to = packet.sender.node;
    std::vector<member_update> updates;
    for (const auto& [node, record] : members) {
        const auto state = record.info.state;
        if (node != to && (state == member_state::alive || state == member_state::suspect))
            updates.push_back(record.info);
    }
    membership_packet answer { packet_kind::join_answer, static_cast<std::uint32_t>(updates.size()), self, {}, {} };
    const auto flush = [&] {
        actions.push_back(send_packet { to, answer });
        answer.updates.clear();
    };
    for (auto& update : updates) {
        answer.updates.push_back(update);
        if (answer.updates.size() > settings.maxUpdates || datagramSize(answer) > maxDatagramBytes) {
            answer.updates.pop_back();
            flush();
            answer.updates.push_back(std::move(update));
        }
    }
    if (!answer.updates.empty() || updates.empty())
        flush();
}

failure_detector::failure_detector(member_update self, failure_detector_settings settings, std::uint64_t seed)
{
    const auto refuse
        = [](const std::string& message, const std::string& remedy) { throw error(error_kind::invalid_settings, message, remedy); };
    if (self.domain.value.empty())
        refuse("the failure domain is empty", "set the failure domain of this vm");
    if (self.node.value.empty())
        refuse("the node id is empty", "set the address of the peer port");
    if (encodedSize(self) > maxUpdateBytes)
        refuse("node id, failure domain, region and HTTP address need " + std::to_string(encodedSize(self)) + " bytes in a datagram",
            "shorten them to at most " + std::to_string(maxUpdateBytes) + " bytes together");
    if (settings.probeTimeout <= duration::zero() || settings.probeInterval < 2 * settings.probeTimeout)
        refuse("the probe interval is shorter than twice the probe timeout", "set an interval of at least twice the timeout");
    if (settings.suspicionTimeout <= duration::zero() || settings.deadProbeInterval <= duration::zero()
        || settings.deadMemberRetention <= duration::zero() || settings.maxUpdates == 0)
        refuse("a membership timeout or max_updates is 0", "use positive values");
    m_implementation = std::make_unique<implementation>(std::move(self), settings, seed);
}

failure_detector::~failure_detector() = default;

std::vector<membership_action> failure_detector::addSeeds(monotonic_time now, const std::vector<node_id>& seeds)
{
    auto& state = *m_implementation;
    std::vector<node_id> unknown;
    std::ranges::copy_if(seeds, std::back_inserter(unknown), [&](const auto& node) { return !state.members.contains(node); });
    state.seeds.add(now, unknown, state.self.node);
    state.trySeeds(now);
    return state.takeActions();
}

std::vector<membership_action> failure_detector::receive(monotonic_time now, const membership_packet& packet)
{
    m_implementation->receive(now, packet);
    return m_implementation->takeActions();
}

std::vector<membership_action> failure_detector::tick(monotonic_time now)
{
    m_implementation->tick(now);
    return m_implementation->takeActions();
}

std::vector<membership_action> failure_detector::setDraining(monotonic_time now)
{
    auto& state = *m_implementation;
    if (!state.self.draining) {
        state.self.draining = true;
        // A higher refutation makes the update supersede the one held by other members.
        ++state.self.refutation;
        state.announceSelf();
        state.push(now);
    }
    return state.takeActions();
}

std::vector<membership_action> failure_detector::setHttpAddress(monotonic_time now, const std::string& address)
{
    auto& state = *m_implementation;
    if (state.self.httpAddress != address) {
        state.self.httpAddress = address;
        ++state.self.refutation;
        for (auto& [node, record] : state.members)
            record.acknowledgedDescription = false;
        state.announceSelf();
        state.push(now);
    }
    return state.takeActions();
}

std::vector<membership_action> failure_detector::setConfigVersion(monotonic_time, config_version version)
{
    // Not gossiped: 750 members and 11,000 changes a day would cause 370 KB/s per node. Every datagram carries the version of its sender,
    // which is enough for members to find a newer one.
    m_implementation->self.config = std::max(m_implementation->self.config, version);
    return {};
}

std::vector<membership_action> failure_detector::leave(monotonic_time)
{
    auto& state = *m_implementation;
    state.self.state = member_state::left;
    state.gossip.add(state.self);
    // The process ends soon, so the departure must not depend on later datagrams.
    for (const auto& node : state.randomMembers(maxDepartureNotifications, {}))
        state.ping(node);
    return state.takeActions();
}

std::vector<membership_action> failure_detector::confirmDead(monotonic_time now, const node_id& node, incarnation run)
{
    auto& state = *m_implementation;
    const auto found = state.members.find(node);
    if (found != state.members.end() && found->second.info.run == run
        && (found->second.info.state == member_state::alive || found->second.info.state == member_state::suspect)) {
        state.changeState(now, found->second, member_state::dead);
        state.push(now);
    }
    return state.takeActions();
}

const member_update& failure_detector::self() const
{
    return m_implementation->self;
}

std::vector<member_update> failure_detector::members() const
{
    std::vector<member_update> result;
    for (const auto& [node, record] : m_implementation->members)
        result.push_back(record.info);
    return result;
}

} // namespace carawaylink
