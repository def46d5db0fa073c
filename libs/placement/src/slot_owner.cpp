#include "placement/slot_owner.h"

#include <algorithm>
#include <utility>

namespace carawaylink::placement {

namespace {

// Time after the start of an ownership in which the nodes list the slots that they hold.
constexpr auto settlingTime = std::chrono::milliseconds(100);
// A node that sends no calls for this long has failed or is cut off. Nodes with requests call several times within it.
constexpr auto nodeTimeout = std::chrono::milliseconds(1500);
// After a longer pause of this process, the nodes may have turned to another owner.
constexpr auto maxPause = std::chrono::milliseconds(400);
// Weight of a speed that the owner did not measure itself.
constexpr std::uint32_t initialSpeedSamples = 3;

// A call of an earlier session of the same process may arrive late, over a connection that was replaced.
bool opensNewSession(std::uint64_t session, std::uint64_t current)
{
    const bool isSameRun = session >> sessionCounterBits == current >> sessionCounterBits;
    return isSameRun ? session > current : true;
}

} // namespace

slot_owner::slot_owner(pool_id pool, std::uint64_t seed, monotonic_time now)
    : m_id(std::move(pool))
    , m_pool(seed)
    , m_grantsFrom(now + settlingTime)
    , m_lastDecisionAt(now)
{
}

void slot_owner::setInitialSpeeds(const std::map<replica_id, endpoint_speed>& speeds)
{
    for (const auto& [replica, learned] : speeds) {
        auto speed = learned;
        speed.samples = std::min(speed.samples, initialSpeedSamples);
        m_pool.setReportedSpeed(replica, speed);
    }
}

// Shares change often and concern the owner only; the nodes are told what they may use.
void slot_owner::setVersionRules(const version_rules& rules, const version_split& split)
{
    const auto& known = m_pool.versionRules();
    const bool isNews = rules.stamp != known.stamp || rules.use != known.use;
    m_pool.setVersionRules(rules, split);
    if (!isNews)
        return;
    for (auto& [node, session] : m_nodes) {
        session.knowsVersions = false;
        session.needsReply = session.needsReply || session.session != 0;
    }
}

void slot_owner::receive(const node_id& node, const slot_call& call, monotonic_time now)
{
    auto& session = m_nodes[node];
    session.lastHeardAt = now;
    if (call.sequence == 1 && opensNewSession(call.session, session.session)) {
        releaseAll(session, now);
        session.session = call.session;
        session.lastCall = 0;
        session.lastReply = 0;
        session.lastGrantReply = 0;
        session.knowsVersions = false;
        session.pending = {};
    }
    if (call.session != session.session || call.sequence != session.lastCall + 1) {
        reject(node, session, call, now);
        return;
    }
    session.lastCall = call.sequence;
    session.needsReply = session.needsReply || call.wantsReply;
    apply(node, session, call, now);
    // The node opens another session, which lists what it holds.
    if (!confirms(node, session, call))
        reject(node, session, call, now);
}

// A grant that was lost, or whose request has left, would otherwise keep its slot for as long as the node sends calls. Grants on their way
// are not known to the node yet; releases on their way cannot be missing, since calls arrive in order. An endpoint that only the node
// knows makes it hold more than is counted here.
bool slot_owner::confirms(const node_id& node, const node_session& session, const slot_call& call)
{
    const bool hasGrantOnItsWay = !session.pending.grants.empty() || !call.held || call.held->appliedReply < session.lastGrantReply;
    if (hasGrantOnItsWay)
        return true;
    const auto counted = std::ranges::count_if(session.requests, [this](const auto& entry) { return m_pool.isRunning(entry.second); });
    if (static_cast<std::uint32_t>(counted) <= call.held->running)
        return true;
    m_reclaimed.push_back({ m_id, node, static_cast<std::size_t>(counted), call.held->running });
    return false;
}

// Calls were lost on the way, or belong to a session that this owner does not know any more.
void slot_owner::reject(const node_id& node, node_session& session, const slot_call& call, monotonic_time now)
{
    if (call.session == session.session) {
        releaseAll(session, now);
        session.session = 0;
        session.needsReply = false;
    }
    slot_reply reply;
    reply.pool = m_id;
    reply.session = call.session;
    reply.status = call_status::unknown_session;
    m_rejections.push_back({ node, std::move(reply) });
}

void slot_owner::apply(const node_id& node, node_session& session, const slot_call& call, monotonic_time now)
{
    const auto known = [&](std::uint64_t id) -> std::optional<std::uint64_t> {
        const auto found = session.requests.find(id);
        return found == session.requests.end() ? std::nullopt : std::optional(found->second);
    };
    for (const auto id : call.withdrawn) {
        if (const auto request = known(id))
            m_pool.withdraw(*request);
        forgetIfEnded(session, id);
    }
    for (const auto& report : call.progress) {
        if (const auto request = known(report.id))
            m_pool.recordProgress(*request, report.events, now);
    }
    for (const auto& report : call.outcomes) {
        if (const auto request = known(report.id))
            m_pool.recordOutcome(*request, report.result, report.events, now);
        forgetIfEnded(session, report.id);
    }
    for (const auto& limit : call.limits) {
        if (limit.perSecond)
            m_pool.setRequestLimit(limit.replica, *limit.perSecond, now);
        else
            m_pool.liftRequestLimit(limit.replica, now);
    }
    for (const auto& prompt : call.answered)
        m_pool.recordAnswered(prompt.replica, prompt.startedAtMs, prompt.parts);
    for (auto adopted : call.adopted) {
        adopted.sender = node;
        const auto id = std::exchange(adopted.id, poolRequest(node, session, adopted.id));
        m_pool.adopt(adopted, now);
        forgetIfEnded(session, id);
    }
    for (const auto& notice : call.notices) {
        if (notice.isLeaving)
            m_pool.setLeaving(notice.replica, notice.startedAtMs);
        if (notice.restUntil)
            m_pool.setRest(notice.replica, notice.startedAtMs, node, *notice.restUntil);
    }
    for (auto request : call.requests) {
        request.sender = node;
        request.domain = call.domain;
        request.id = poolRequest(node, session, request.id);
        m_pool.withdraw(request.id);
        m_pool.submit(std::move(request));
    }
}

std::uint64_t slot_owner::poolRequest(const node_id& node, node_session& session, std::uint64_t id)
{
    const auto [position, inserted] = session.requests.try_emplace(id, m_nextRequest);
    if (inserted)
        m_origins.emplace(m_nextRequest++, request_origin { node, id });
    return position->second;
}

void slot_owner::forgetIfEnded(node_session& session, std::uint64_t id)
{
    const auto found = session.requests.find(id);
    if (found == session.requests.end() || m_pool.isRunning(found->second) || m_pool.isWaiting(found->second))
        return;
    m_origins.erase(found->second);
    session.requests.erase(found);
}

void slot_owner::releaseAll(node_session& session, monotonic_time now)
{
    for (const auto& [id, request] : session.requests) {
        m_pool.withdraw(request);
        m_pool.recordOutcome(request, outcome::cancelled, 0, now);
        m_origins.erase(request);
    }
    session.requests.clear();
}

void slot_owner::removeNode(const node_id& node, monotonic_time now)
{
    const auto found = m_nodes.find(node);
    if (found == m_nodes.end())
        return;
    releaseAll(found->second, now);
    m_nodes.erase(found);
}

void slot_owner::removeSilentNodes(monotonic_time now)
{
    for (auto entry = m_nodes.begin(); entry != m_nodes.end();) {
        if (now - entry->second.lastHeardAt > nodeTimeout) {
            releaseAll(entry->second, now);
            entry = m_nodes.erase(entry);
        } else {
            ++entry;
        }
    }
}

std::vector<addressed_reply> slot_owner::takeReplies(monotonic_time now)
{
    if (now - std::exchange(m_lastDecisionAt, now) > maxPause) {
        for (auto& [node, session] : m_nodes)
            releaseAll(session, now);
        m_nodes.clear();
        m_grantsFrom = now + settlingTime;
    }
    removeSilentNodes(now);
    if (now >= m_grantsFrom)
        collectDecisions(now);
    auto replies = std::exchange(m_rejections, {});
    const auto total = load();
    for (auto& [node, session] : m_nodes) {
        if (!std::exchange(session.needsReply, false))
            continue;
        auto reply = std::exchange(session.pending, {});
        reply.pool = m_id;
        reply.load = total;
        reply.processed = session.lastCall;
        reply.session = session.session;
        reply.sequence = ++session.lastReply;
        if (m_pool.versionRules().hasOrder() && !std::exchange(session.knowsVersions, true))
            reply.versions = m_pool.versionRules();
        if (!reply.grants.empty())
            session.lastGrantReply = reply.sequence;
        replies.push_back({ node, std::move(reply) });
    }
    return replies;
}

owner_explanation slot_owner::explain(const waiting_request& request, monotonic_time now)
{
    owner_explanation result { m_pool.explain(request, now), m_nodes.size(), {} };
    for (const auto& [node, session] : m_nodes)
        result.age = std::max(result.age, now - session.lastHeardAt);
    return result;
}

void slot_owner::collectDecisions(monotonic_time now)
{
    auto decisions = m_pool.decide(now);
    const auto replyTo = [&](auto& decision) -> slot_reply& {
        const auto& origin = m_origins.at(decision.id);
        decision.id = origin.id;
        auto& session = m_nodes.at(origin.node);
        session.needsReply = true;
        return session.pending;
    };
    for (auto& granted : decisions.grants) {
        const auto speed = m_pool.speedOf(granted.replica).value_or(endpoint_speed {});
        auto& reply = replyTo(granted);
        if (const auto perSecond = m_pool.requestLimitOf(granted.replica))
            reply.limits.push_back({ granted.replica, *perSecond });
        reply.grants.push_back({ std::move(granted), speed });
    }
    for (auto& refused : decisions.refusals) {
        const auto& origin = m_origins.at(refused.id);
        const auto nodeRequest = origin.id;
        auto& session = m_nodes.at(origin.node);
        replyTo(refused).refusals.push_back(refused);
        forgetIfEnded(session, nodeRequest);
    }
    for (auto& wait : decisions.waitReports)
        replyTo(wait).waitReports.push_back(wait);
}

} // namespace carawaylink::placement
