#include "slot_coordinator.h"

#include "base/time.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <numeric>

namespace carawaylink::gateway {

namespace {

// Starts by the floor are frequent under overload, so that their number is logged and not each of them.
constexpr auto admissionReportInterval = std::chrono::seconds(1);

} // namespace

slot_coordinator::slot_coordinator(
    boost::asio::io_context& context, node_id self, failure_domain domain, decision_log& log, std::uint64_t seed)
    : m_context(context)
    , m_self(std::move(self))
    , m_domain(std::move(domain))
    , m_log(log)
    , m_random(seed)
    , m_run(static_cast<std::uint32_t>(m_random()))
    , m_owned(m_self, m_random())
    , m_nodes({ { m_self, 0 } })
    , m_alive(std::make_shared<slot_coordinator*>(this))
{
}

slot_coordinator::service_state& slot_coordinator::service(const service_id& name)
{
    auto& state = m_services[name];
    if (!state) {
        state = std::make_unique<service_state>(name, m_domain, m_run, m_random());
        state->client.setShare(m_rank, m_nodes.size());
    }
    return *state;
}

const slot_coordinator::service_state* slot_coordinator::find(const service_id& name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : found->second.get();
}

void slot_coordinator::setLimits(const service_id& name, const placement::pool_limits& limits)
{
    service(name).client.setLimits(limits);
    m_owned.setLimits(name, limits);
}

void slot_coordinator::setEndpoints(const std::map<discovery::replica_id, discovery::endpoint_record>& records)
{
    for (auto& [name, list] : m_endpoints)
        list.clear();
    m_endpointByHash.clear();
    for (const auto& [id, record] : records) {
        m_endpoints[record.service].push_back(record);
        m_endpointByHash.emplace(replicaHash(id), record);
    }
    const auto now = std::chrono::steady_clock::now();
    for (const auto& [name, list] : m_endpoints) {
        auto& state = service(name);
        if (m_holdsNewVersions)
            applyVersionRules(name, state, now);
        state.client.setEndpoints(list, now);
    }
    updateOwners();
}

void slot_coordinator::setVersionRules(const service_id& name, const placement::version_rules& known, const placement::version_rules& owned,
    const std::map<std::uint32_t, placement::version_split>& splits)
{
    auto& state = service(name);
    auto held = std::move(state.known.held);
    state.known = known;
    state.known.held = std::move(held);
    state.owned = owned;
    state.splits = splits;
    applyVersionRules(name, state, std::chrono::steady_clock::now());
    schedule();
}

void slot_coordinator::applyVersionRules(const service_id& name, service_state& state, monotonic_time now)
{
    const auto before = state.known.held;
    state.known.held = state.versions.update(endpointsOf(name), state.known.target, now);
    state.owned.held = state.known.held;
    if (state.known.held != before)
        m_log.event("versions_held_back").field("service", name).field("versions", state.known.held.size());
    state.client.setVersionRules(state.known);
    m_owned.setVersionRules(name, state.owned, state.splits);
}

const std::vector<discovery::endpoint_record>& slot_coordinator::endpointsOf(const service_id& name) const
{
    static const std::vector<discovery::endpoint_record> none;
    const auto found = m_endpoints.find(name);
    return found == m_endpoints.end() ? none : found->second;
}

std::string slot_coordinator::versionOf(const discovery::replica_id& replica) const
{
    const auto record = lookUp(replicaHash(replica));
    return record ? record->version : std::string {};
}

std::map<std::uint32_t, placement::slot_owner*> slot_coordinator::ownedPools(const service_id& name) const
{
    std::map<std::uint32_t, placement::slot_owner*> result;
    for (const auto& [id, pool] : m_owned.pools()) {
        if (id.service == name)
            result.emplace(id.number, pool.get());
    }
    return result;
}

std::vector<std::optional<node_id>> slot_coordinator::ownersOf(const service_id& name) const
{
    return placement::ownersOf(name, placement::poolCount(endpointsOf(name).size()), m_nodes);
}

void slot_coordinator::setMembers(std::vector<placement::owner_candidate> nodes, std::size_t rank)
{
    m_nodes = std::move(nodes);
    m_rank = rank;
    for (auto& [name, state] : m_services)
        state->client.setShare(rank, m_nodes.size());
    updateOwners();
}

void slot_coordinator::updateOwners()
{
    const auto now = std::chrono::steady_clock::now();
    const auto owned = m_owned.pools().size();
    const auto knownSpeeds = [this](const service_id& name) { return service(name).client.local().speeds(); };
    if (m_owned.update(m_endpoints, m_nodes, knownSpeeds, now)) {
        m_log.event("pools_owned").field("pools", m_owned.pools().size()).field("before", owned).field("nodes", m_nodes.size());
    }
    for (const auto& [name, list] : m_endpoints) {
        auto& client = service(name).client;
        client.setOwners(placement::ownersOf(name, client.pools(), m_nodes), now);
    }
    schedule();
}

void slot_coordinator::submit(const service_id& name, placement::waiting_request request)
{
    service(name).client.submit(std::move(request), std::chrono::steady_clock::now());
    schedule();
}

bool slot_coordinator::withdraw(const service_id& name, std::uint64_t id)
{
    const bool wasWaiting = service(name).client.withdraw(id);
    schedule();
    return wasWaiting;
}

void slot_coordinator::recordProgress(const service_id& name, std::uint64_t id, std::size_t events)
{
    auto& client = service(name).client;
    client.recordProgress(id, events, std::chrono::steady_clock::now());
    if (client.hasUrgentCalls())
        schedule();
}

void slot_coordinator::recordOutcome(const service_id& name, std::uint64_t id, placement::outcome result, std::size_t events)
{
    auto& client = service(name).client;
    client.recordOutcome(id, result, events, std::chrono::steady_clock::now());
    if (client.hasUrgentCalls() || client.hasWaiting())
        schedule();
}

void slot_coordinator::recordRequestLimit(
    const service_id& name, const discovery::replica_id& replica, std::optional<double> perSecond, monotonic_time sentAt)
{
    auto& client = service(name).client;
    if (!client.recordRequestLimit(replica, perSecond, sentAt, std::chrono::steady_clock::now()))
        return;
    auto line = m_log.event("endpoint_limit", perSecond ? "named" : "ended");
    line.field("service", name).field("replica", replica);
    if (perSecond)
        line.field("per_second", *perSecond);
    else
        line.field("state", "ended");
    schedule();
}

void slot_coordinator::recordLeaving(const service_id& name, const discovery::replica_id& replica)
{
    if (!service(name).client.recordLeaving(replica, std::chrono::steady_clock::now()))
        return;
    m_log.event("endpoint_leaving").field("service", name).field("replica", replica);
}

void slot_coordinator::recordRest(const service_id& name, const discovery::replica_id& replica, duration rest)
{
    const auto now = std::chrono::steady_clock::now();
    if (!service(name).client.recordRest(replica, now + rest, now))
        return;
    m_log.event("endpoint_rests").field("service", name).field("replica", replica).field("rest_ms", wholeMilliseconds(rest));
}

duration slot_coordinator::firstEventTimeout(const service_id& name, std::uint64_t id) const
{
    const auto* state = find(name);
    return state ? state->client.firstEventTimeout(id) : duration {};
}

// A request ends by withdrawing or by reporting its outcome, so that there is none of these unless that went wrong.
void slot_coordinator::releaseUnknown(const std::function<bool(std::uint64_t id)>& exists)
{
    for (const auto& [name, state] : m_services) {
        for (const auto id : state->client.requests()) {
            if (exists(id))
                continue;
            m_log.event("slot_without_request").field("service", name).field("id", id);
            withdraw(name, id);
            recordOutcome(name, id, placement::outcome::cancelled, 0);
        }
    }
}

void slot_coordinator::tick()
{
    for (auto& [name, state] : m_services) {
        if (state->versions.isHolding())
            applyVersionRules(name, *state, std::chrono::steady_clock::now());
    }
    decide(true);
    reportAdmissions(std::chrono::steady_clock::now());
}

void slot_coordinator::reportAdmissions(monotonic_time now)
{
    if (now - m_admissionsReportedAt < admissionReportInterval)
        return;
    m_admissionsReportedAt = now;
    for (const auto& [pool, counts] : m_owned.takeAdmissionCounts()) {
        m_log.event("admission").field("service", pool.service).field("pool", pool.number).field("floor_starts", counts.floorStarts);
        m_handlers.onAdmissions(counts);
    }
}

// Posts the decision instead of running it inline, so that an exchange is not re-entered from its own call.
void slot_coordinator::schedule()
{
    if (std::exchange(m_isScheduled, true))
        return;
    boost::asio::post(m_context, [this, alive = std::weak_ptr(m_alive)] {
        if (alive.expired())
            return;
        m_isScheduled = false;
        decide(false);
    });
}

void slot_coordinator::decide(bool isTick)
{
    const auto now = std::chrono::steady_clock::now();
    for (auto& [name, state] : m_services) {
        if (isTick || state->client.hasUrgentCalls())
            sendCalls(*state, now);
    }
    deliverReplies(now);
    for (auto& [name, state] : m_services) {
        const auto decisions = state->client.decide(now);
        logSilentOwners(name, *state);
        if (!decisions.isEmpty())
            m_handlers.onDecisions(name, decisions);
        if (state->client.hasUrgentCalls())
            schedule();
    }
}

void slot_coordinator::sendCalls(service_state& state, monotonic_time now)
{
    for (auto& entry : state.client.takeCalls(now)) {
        if (entry.owner == m_self) {
            m_owned.receive(m_self, entry.call, now);
            continue;
        }
        peer::envelopeT message;
        message.body.Set(encodeCall(entry.call, now));
        m_handlers.send(entry.owner, std::move(message));
    }
}

void slot_coordinator::deliverReplies(monotonic_time now)
{
    for (auto& entry : m_owned.takeReplies(now)) {
        if (entry.node == m_self) {
            service(entry.reply.pool.service).client.receive(m_self, entry.reply, now);
            continue;
        }
        peer::envelopeT message;
        message.body.Set(encodeReply(entry.reply));
        m_handlers.send(entry.node, std::move(message));
    }
    for (const auto& taken : m_owned.takeReclaimed()) {
        m_log.event("slots_reclaimed")
            .field("service", taken.pool.service)
            .field("pool", taken.pool.number)
            .field("holder", taken.node)
            .field("counted", taken.counted)
            .field("held", taken.held);
    }
}

void slot_coordinator::receive(const node_id& node, const peer::slot_callT& call)
{
    const auto now = std::chrono::steady_clock::now();
    m_owned.receive(node,
        decodeCall(
            call, [this](std::uint64_t hash) { return lookUp(hash); }, now),
        now);
    schedule();
}

void slot_coordinator::receive(const node_id& node, const peer::slot_replyT& message)
{
    const auto reply = decodeReply(message, [this](std::uint64_t hash) { return lookUp(hash); });
    service(reply.pool.service).client.receive(node, reply, std::chrono::steady_clock::now());
    schedule();
}

void slot_coordinator::loseConnection(const node_id& node)
{
    const auto now = std::chrono::steady_clock::now();
    for (auto& [name, state] : m_services)
        state->client.loseOwner(node, now);
    schedule();
}

void slot_coordinator::removeNode(const node_id& node)
{
    m_owned.removeNode(node, std::chrono::steady_clock::now());
    schedule();
}

void slot_coordinator::logSilentOwners(const service_id& name, service_state& state)
{
    state.silentOwners.resize(state.client.pools());
    for (std::uint32_t pool = 0; pool < state.client.pools(); ++pool) {
        const bool isSilent = state.client.isOwnerSilent(pool);
        if (state.silentOwners[pool] == isSilent)
            continue;
        state.silentOwners[pool] = isSilent;
        const auto owner = placement::ownerOf({ name, pool }, m_nodes);
        m_log.event(isSilent ? "owner_silent" : "owner_replies")
            .field("service", name)
            .field("pool", pool)
            .field("owner", owner.value_or(node_id {}))
            .field("waiting", state.client.waitingCount());
        if (isSilent && owner && *owner != m_self)
            m_handlers.onOwnerSilent(*owner);
    }
}

std::size_t slot_coordinator::waitingCount() const
{
    return std::accumulate(m_services.begin(), m_services.end(), std::size_t { 0 },
        [](std::size_t total, const auto& entry) { return total + entry.second->client.waitingCount(); });
}

std::size_t slot_coordinator::limitedCount() const
{
    return std::accumulate(m_services.begin(), m_services.end(), std::size_t { 0 },
        [](std::size_t total, const auto& entry) { return total + entry.second->client.local().requestLimits().size(); });
}

placement::notice_counts slot_coordinator::noticeCounts() const
{
    placement::notice_counts total;
    for (const auto& [name, state] : m_services) {
        const auto counts = noticeCounts(name);
        total.leaving += counts.leaving;
        total.resting += counts.resting;
    }
    return total;
}

placement::notice_counts slot_coordinator::noticeCounts(const service_id& name) const
{
    const auto* state = find(name);
    return state ? state->client.local().countNotices(std::chrono::steady_clock::now()) : placement::notice_counts {};
}

placement::reuse_totals slot_coordinator::reuse() const
{
    placement::reuse_totals total;
    for (const auto& [name, state] : m_services) {
        const auto reuse = state->client.local().reuse();
        total.predicted += reuse.predicted;
        total.found += reuse.found;
    }
    return total;
}

std::vector<pool_explanation> slot_coordinator::explain(const service_id& name, const placement::waiting_request& request) const
{
    const auto* state = find(name);
    std::vector<pool_explanation> result(state ? state->client.pools() : 0);
    for (std::uint32_t number = 0; number < result.size(); ++number) {
        const pool_id pool { name, number };
        result[number].owner = placement::ownerOf(pool, m_nodes);
        const auto owned = m_owned.pools().find(pool);
        if (owned != m_owned.pools().end())
            result[number].view = owned->second->explain(request, std::chrono::steady_clock::now());
    }
    return result;
}

std::optional<discovery::endpoint_record> slot_coordinator::lookUp(std::uint64_t hash) const
{
    const auto found = m_endpointByHash.find(hash);
    return found == m_endpointByHash.end() ? std::nullopt : std::optional(found->second);
}

} // namespace carawaylink::gateway
