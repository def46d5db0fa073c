#include "placement/slot_client.h"

#include "placement/pool_assignment.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace carawaylink::placement {

namespace {

// An owner that has not replied for this long is bypassed. Above the pauses of a process that has used up its processor quota.
constexpr auto replyTimeout = std::chrono::milliseconds(120);
// Interval of calls without content: while requests wait at the owner, and while they only run.
constexpr auto waitingCallInterval = std::chrono::milliseconds(60);
constexpr auto runningCallInterval = std::chrono::milliseconds(240);
// Interval between attempts to reach a silent owner.
constexpr auto reopenInterval = std::chrono::milliseconds(100);
// After a longer pause of this process, its grants may have been given to others.
constexpr auto maxPause = std::chrono::milliseconds(400);
// The secondary pool is used if the primary one is full and the secondary one has at least this much less load per slot.
constexpr double minLoadDifference = 0.1;
// A request waits at least this long in the queue of a full pool before it moves to another, and one request moves at a time.
constexpr auto rebalanceInterval = std::chrono::milliseconds(25);

} // namespace

slot_client::slot_client(service_id service, failure_domain domain, std::uint32_t run, std::uint64_t seed)
    : m_service(std::move(service))
    , m_domain(std::move(domain))
    , m_local(seed)
    , m_links(1)
    , m_lastSession(static_cast<std::uint64_t>(run) << sessionCounterBits)
{
}

void slot_client::setEndpoints(const std::vector<discovery::endpoint_record>& records, monotonic_time now)
{
    m_local.setEndpoints(records, now);
    const auto count = poolCount(records.size());
    m_poolByReplica.clear();
    m_endpointsByVersion.clear();
    for (const auto& record : records) {
        const auto pool = poolOf(record.id, count);
        m_poolByReplica.emplace(record.id, pool);
        auto& endpoints = m_endpointsByVersion[record.version];
        endpoints.resize(count);
        endpoints[pool] += record.draining ? 0 : 1;
    }
    if (count == m_links.size())
        return;
    m_links.assign(count, {});
    for (auto& [id, entry] : m_running)
        entry.pool = poolOfReplica(entry.request.replica);
    std::vector<waiting_request> moved;
    for (auto& [id, entry] : m_waiting) {
        if (std::exchange(entry.pool, std::nullopt))
            moved.push_back(std::move(entry.request));
    }
    // Without owners until the next setOwners(), which follows each change of the endpoints.
    for (auto& request : moved)
        enqueueLocally(std::move(request));
}

std::uint32_t slot_client::poolOfReplica(const replica_id& replica) const
{
    const auto found = m_poolByReplica.find(replica);
    return found == m_poolByReplica.end() ? 0 : found->second;
}

void slot_client::setOwners(const std::vector<std::optional<node_id>>& owners, monotonic_time now)
{
    bool changed = false;
    for (std::size_t number = 0; number < m_links.size(); ++number) {
        auto& link = m_links[number];
        const auto owner = number < owners.size() ? owners[number] : std::nullopt;
        if (link.owner == owner)
            continue;
        close(link);
        link.owner = owner;
        link.isSilent = false;
        link.load = {};
        link.nextOpenAt = now;
        changed = true;
    }
    if (!changed)
        return;
    m_hasUrgentCalls = true;
    returnToOwners(now);
}

void slot_client::setShare(std::size_t rank, std::size_t count)
{
    m_rank = rank;
    m_local.setShare(rank, count);
}

void slot_client::setVersionRules(const version_rules& rules)
{
    const auto& known = m_local.versionRules();
    if (rules.stamp >= known.stamp) {
        m_local.setVersionRules(rules);
        return;
    }
    auto merged = known;
    merged.held = rules.held;
    m_local.setVersionRules(merged);
}

// Nodes are spread evenly over the pools by rank. Each also uses a second pool, which differs between the nodes of one primary pool, so
// that the load of a full pool spreads over all others.
std::optional<std::uint32_t> slot_client::choosePool(const waiting_request& request) const
{
    const auto count = m_links.size();
    if (request.version && count > 1)
        return choosePoolOf(*request.version);
    const auto primary = m_rank % count;
    if (count == 1)
        return isUsable(m_links[0]) ? std::optional(std::uint32_t { 0 }) : std::nullopt;
    const auto secondary = (primary + 1 + (m_rank / count) % (count - 1)) % count;
    const auto& first = m_links[primary];
    const auto& second = m_links[secondary];
    const bool isFull = first.load.slots > 0 && first.load.utilization() >= 1;
    const double secondUtilization = second.load.slots > 0 ? second.load.utilization() : 0;
    const bool prefersSecond = isFull && secondUtilization + minLoadDifference < first.load.utilization();
    if (isUsable(first) && !(prefersSecond && isUsable(second)))
        return static_cast<std::uint32_t>(primary);
    if (isUsable(second))
        return static_cast<std::uint32_t>(secondary);
    return std::nullopt;
}

std::optional<std::uint32_t> slot_client::choosePoolOf(const std::string& version) const
{
    const auto found = m_endpointsByVersion.find(version);
    if (found == m_endpointsByVersion.end())
        return std::nullopt;
    const auto& endpoints = found->second;
    std::optional<std::uint32_t> best;
    for (std::uint32_t pool = 0; pool < std::min<std::size_t>(endpoints.size(), m_links.size()); ++pool) {
        if (endpoints[pool] > 0 && isUsable(m_links[pool]) && (!best || endpoints[pool] > endpoints[*best]))
            best = pool;
    }
    return best;
}

void slot_client::submit(waiting_request request, monotonic_time now)
{
    request.domain = m_domain;
    if (!m_local.limits().memory)
        request.promptParts.clear();
    enqueue(std::move(request), now);
}

void slot_client::enqueue(waiting_request request, monotonic_time now)
{
    const auto pool = choosePool(request);
    if (!pool) {
        enqueueLocally(std::move(request));
        return;
    }
    auto& link = m_links[*pool];
    if (link.isOpen) {
        link.next.requests.push_back(request);
        link.next.wantsReply = true;
    } else {
        link.nextOpenAt = std::min(link.nextOpenAt, now);
    }
    const auto id = request.id;
    m_waiting[id] = { std::move(request), pool, now };
    m_hasUrgentCalls = true;
}

// This node uses too few requests of an endpoint to know what it holds, and the account would grow with the number of endpoints.
void slot_client::enqueueLocally(waiting_request request)
{
    const auto id = request.id;
    auto local = request;
    local.promptParts.clear();
    m_local.submit(std::move(local));
    m_waiting[id] = { std::move(request), std::nullopt };
}

void slot_client::returnToOwners(monotonic_time now)
{
    std::vector<waiting_request> moved;
    for (const auto& [id, entry] : m_waiting) {
        if (!entry.pool)
            moved.push_back(entry.request);
    }
    for (auto& request : moved) {
        m_local.withdraw(request.id);
        enqueue(std::move(request), now);
    }
}

void slot_client::rebalance(monotonic_time now)
{
    if (pools() < 2 || now - m_lastRebalanceAt < rebalanceInterval)
        return;
    m_lastRebalanceAt = now;
    const auto found = std::ranges::find_if(m_waiting, [&](const auto& entry) {
        const auto& [request, pool, since] = entry.second;
        if (!pool || now - since <= rebalanceInterval)
            return false;
        const auto chosen = choosePool(request);
        return chosen && chosen != pool;
    });
    if (found == m_waiting.end())
        return;
    auto request = found->second.request;
    withdraw(request.id);
    enqueue(std::move(request), now);
}

bool slot_client::withdraw(std::uint64_t id)
{
    const auto found = m_waiting.find(id);
    if (found == m_waiting.end())
        return false;
    const auto pool = found->second.pool;
    m_waiting.erase(found);
    if (!pool)
        return m_local.withdraw(id);
    auto& link = m_links[*pool];
    if (!link.isOpen)
        return true;
    const bool wasUnsent = std::erase_if(link.next.requests, [id](const waiting_request& request) { return request.id == id; }) > 0;
    if (!wasUnsent) {
        link.next.withdrawn.push_back(id);
        m_hasUrgentCalls = true;
    }
    return true;
}

void slot_client::recordProgress(std::uint64_t id, std::size_t events, monotonic_time now)
{
    m_local.recordProgress(id, events, now);
    const auto found = m_running.find(id);
    if (found == m_running.end())
        return;
    auto& entry = found->second;
    entry.events = events;
    if (std::exchange(entry.request.hasFirstEvent, true))
        return;
    m_recentPrompts.add({ entry.request.replica, m_local.startOf(entry.request.replica), entry.request.promptParts });
    // The end of a prefill changes what the owner may place on the endpoint.
    if (m_links[entry.pool].isOpen) {
        m_links[entry.pool].next.progress.push_back({ id, events });
        entry.reportedEvents = events;
        m_hasUrgentCalls = true;
    }
}

void slot_client::recordOutcome(std::uint64_t id, outcome result, std::size_t events, monotonic_time now)
{
    m_local.recordOutcome(id, result, events, now);
    const auto found = m_running.find(id);
    if (found == m_running.end())
        return;
    auto& link = m_links[found->second.pool];
    if (result == outcome::broken || result == outcome::unreachable || result == outcome::replaced)
        m_recentPrompts.remove(found->second.request.replica);
    m_running.erase(found);
    if (!link.isOpen)
        return;
    release(link, { id, result, events });
    // A free slot matters at once only if a request waits for it.
    if (link.load.waiting > 0 || link.load.running + 1 >= link.load.slots)
        m_hasUrgentCalls = true;
}

// The owner applies outcomes first. A request that has ended must not be listed as running in the same call, or its slot would be held by
// nobody.
void slot_client::release(owner_link& link, const outcome_report& report)
{
    std::erase_if(link.next.adopted, [&](const adopted_request& entry) { return entry.id == report.id; });
    link.next.outcomes.push_back(report);
}

bool slot_client::recordRequestLimit(const replica_id& replica, std::optional<double> perSecond, monotonic_time sentAt, monotonic_time now)
{
    const bool hasChanged = perSecond ? m_local.setRequestLimit(replica, *perSecond, now) : m_local.liftRequestLimit(replica, sentAt);
    if (!perSecond && !hasChanged)
        return false;
    // Limits are repeated, because another node may have reported the end of an earlier one.
    auto& link = m_links[poolOfReplica(replica)];
    if (link.isOpen)
        link.next.limits.push_back({ replica, perSecond });
    m_hasUrgentCalls = m_hasUrgentCalls || hasChanged;
    return hasChanged;
}

bool slot_client::recordLeaving(const replica_id& replica, monotonic_time now)
{
    const bool isNews = m_local.setLeaving(replica, m_local.startOf(replica));
    if (isNews)
        reportNotice(replica, now);
    return isNews;
}

bool slot_client::recordRest(const replica_id& replica, monotonic_time until, monotonic_time now)
{
    const bool isNews = m_local.setRest(replica, m_local.startOf(replica), {}, until);
    if (isNews)
        reportNotice(replica, now);
    return isNews;
}

std::optional<notice_report> slot_client::noticeOf(const replica_id& replica, monotonic_time now) const
{
    const auto* notice = m_local.noticeOf(replica);
    if (!notice || notice->isEmpty(now))
        return std::nullopt;
    return notice_report { replica, notice->startedAtMs(), notice->isLeaving(), notice->restUntil({}, now) };
}

void slot_client::reportNotice(const replica_id& replica, monotonic_time now)
{
    auto& link = m_links[poolOfReplica(replica)];
    const auto notice = noticeOf(replica, now);
    // The next session lists all notices.
    if (!link.isOpen || !notice)
        return;
    link.next.notices.push_back(*notice);
    m_hasUrgentCalls = true;
}

void slot_client::receive(const node_id& owner, const slot_reply& reply, monotonic_time now)
{
    if (wasPaused(now)) {
        resumeAfterPause(now);
        return;
    }
    if (reply.pool.number >= m_links.size())
        return;
    auto& link = m_links[reply.pool.number];
    if (link.owner != owner || !link.isOpen || reply.session != link.session)
        return;
    if (reply.status == call_status::not_owner) {
        markSilent(reply.pool.number, now);
        return;
    }
    if (reply.status == call_status::unknown_session || reply.sequence != link.lastReply + 1) {
        close(link);
        m_hasUrgentCalls = true;
        return;
    }
    link.lastReply = reply.sequence;
    if (std::exchange(link.isSilent, false))
        returnToOwners(now);
    if (reply.processed >= link.awaitedCall)
        link.awaitingSince.reset();
    else if (link.awaitingSince)
        link.awaitingSince = now;
    link.load = reply.load;
    if (reply.versions) {
        auto rules = *reply.versions;
        rules.held = m_local.versionRules().held;
        setVersionRules(rules);
    }
    for (const auto& limit : reply.limits) {
        if (limit.perSecond)
            m_local.setRequestLimit(limit.replica, *limit.perSecond, now);
    }
    if (!reply.grants.empty() || !reply.refusals.empty() || !reply.waitReports.empty())
        m_received.push_back({ reply.pool.number, reply.session, reply.grants, reply.refusals, reply.waitReports });
}

bool slot_client::isWaitingIn(std::optional<std::uint32_t> pool, std::uint64_t id) const
{
    const auto found = m_waiting.find(id);
    return found != m_waiting.end() && found->second.pool == pool;
}

void slot_client::resumeAfterPause(monotonic_time now)
{
    for (auto& link : m_links)
        close(link);
    m_lastActiveAt = now;
    m_hasUrgentCalls = true;
}

// Decisions take effect here and not as they arrive: until then requests may be withdrawn, and pools may change their owner.
void slot_client::applyReceived(pool_decisions& decisions, monotonic_time now)
{
    for (const auto& received : std::exchange(m_received, {})) {
        const auto pool = received.pool;
        const auto isCurrent = [&] { return pool < pools() && m_links[pool].isOpen && m_links[pool].session == received.session; };
        // The next session lists the requests again.
        if (!isCurrent())
            continue;
        for (const auto& entry : received.grants) {
            accept(pool, entry, decisions, now);
        }
        for (const auto& refused : received.refusals) {
            if (!isWaitingIn(pool, refused.id))
                continue;
            auto request = std::move(m_waiting.at(refused.id).request);
            m_waiting.erase(refused.id);
            // The owner does not know the endpoints of the version yet.
            if (refused.cause == refusal_cause::version_gone && request.version && m_local.acceptsVersion(*request.version))
                enqueueLocally(std::move(request));
            else
                decisions.refusals.push_back(refused);
        }
        std::ranges::copy_if(received.waitReports, std::back_inserter(decisions.waitReports),
            [&](const wait_report& report) { return isWaitingIn(pool, report.id); });
    }
}

void slot_client::accept(std::uint32_t pool, const slot_grant& entry, pool_decisions& decisions, monotonic_time now)
{
    const auto& granted = entry.granted;
    if (!isWaitingIn(pool, granted.id)) {
        rejectGrant(pool, granted.id);
        return;
    }
    if (const auto reason = whyDeclined(granted.replica, m_waiting.at(granted.id).request, now)) {
        decisions.declined.push_back({ granted.id, granted.replica, *reason });
        decline(pool, decisions.declined.back(), now);
        return;
    }
    const auto found = m_waiting.find(granted.id);
    const auto request = std::move(found->second.request);
    m_waiting.erase(found);
    m_local.setReportedSpeed(granted.replica, entry.speed);
    const auto previous = m_running.find(granted.id);
    if (previous != m_running.end() && previous->second.pool != pool)
        recordOutcome(granted.id, outcome::timed_out, 0, now);
    m_local.adopt(
        { granted.id, {}, granted.replica, request.prompt, request.output, granted.expectedFirstEvent, false, granted.kept, {} }, now);
    startRunning(request, granted, pool);
    decisions.grants.push_back(granted);
}

// An owner that does not know of versions grants any endpoint.
std::optional<unusable_reason> slot_client::whyDeclined(const replica_id& replica, const waiting_request& request, monotonic_time now) const
{
    if (const auto reason = m_local.whyUnusable(replica, {}, now))
        return reason;
    const bool isOtherVersion = request.version && !m_local.runsVersion(replica, *request.version);
    return isOtherVersion ? std::optional(unusable_reason::version) : std::nullopt;
}

// The owner does not know yet what this node does. Excluding the endpoint keeps an owner that never learns it from granting it again; one
// that only rests is excluded the second time, since the request may run there later. An endpoint that this node does not know cannot be
// named to the owner.
void slot_client::decline(std::uint32_t pool, const declined_grant& declined, monotonic_time now)
{
    const auto found = m_waiting.find(declined.id);
    auto request = std::move(found->second.request);
    m_waiting.erase(found);
    rejectGrant(pool, declined.id);
    request.wasAdmitted = true;
    const bool mayRunThereLater = declined.reason == unusable_reason::resting && !std::exchange(request.wasDeclined, true);
    if (!mayRunThereLater)
        request.excluded.push_back(declined.replica);
    if (declined.reason == unusable_reason::unlisted) {
        enqueueLocally(std::move(request));
        return;
    }
    reportNotice(declined.replica, now);
    enqueue(std::move(request), now);
}

// The request ended, was withdrawn or cannot use the endpoint. The slot is free again; an earlier one that it still holds is not.
void slot_client::rejectGrant(std::uint32_t pool, std::uint64_t id)
{
    auto& link = m_links[pool];
    release(link, { id, outcome::cancelled, 0 });
    const auto running = m_running.find(id);
    if (running != m_running.end() && running->second.pool == pool)
        link.next.adopted.push_back(running->second.request);
    m_hasUrgentCalls = true;
}

void slot_client::startRunning(const waiting_request& request, const grant& granted, std::uint32_t pool)
{
    m_running[granted.id] = { { granted.id, {}, granted.replica, request.prompt, request.output, granted.expectedFirstEvent, false,
                                  granted.kept, request.promptParts },
        pool, 0, 0 };
}

void slot_client::loseOwner(const node_id& owner, monotonic_time now)
{
    for (std::uint32_t pool = 0; pool < pools(); ++pool) {
        if (m_links[pool].owner == owner)
            markSilent(pool, now);
    }
}

void slot_client::close(owner_link& link)
{
    link.isOpen = false;
    link.awaitingSince.reset();
    link.next = {};
}

void slot_client::markSilent(std::uint32_t pool, monotonic_time now)
{
    auto& link = m_links[pool];
    close(link);
    link.isSilent = true;
    link.nextOpenAt = now + reopenInterval;
    std::vector<waiting_request> moved;
    for (auto& [id, entry] : m_waiting) {
        if (entry.pool == pool)
            moved.push_back(entry.request);
    }
    for (auto& request : moved)
        enqueue(std::move(request), now);
}

void slot_client::detectSilentOwners(monotonic_time now)
{
    for (std::uint32_t pool = 0; pool < pools(); ++pool) {
        const auto& link = m_links[pool];
        if (link.awaitingSince && now - *link.awaitingSince > replyTimeout)
            markSilent(pool, now);
    }
}

bool slot_client::wasPaused(monotonic_time now) const
{
    return m_lastActiveAt && now - *m_lastActiveAt > maxPause;
}

pool_decisions slot_client::decide(monotonic_time now)
{
    if (wasPaused(now))
        resumeAfterPause(now);
    else
        detectSilentOwners(now);
    m_lastActiveAt = now;
    pool_decisions decisions;
    applyReceived(decisions, now);
    rebalance(now);
    applyOwn(decisions, now);
    return decisions;
}

void slot_client::applyOwn(pool_decisions& decisions, monotonic_time now)
{
    const auto own = m_local.decide(now);
    for (const auto& granted : own.grants) {
        if (isWaitingIn(std::nullopt, granted.id)) {
            startOwn(granted);
            decisions.grants.push_back(granted);
        } else {
            m_local.recordOutcome(granted.id, outcome::cancelled, 0, now);
        }
    }
    for (const auto& refused : own.refusals) {
        if (!isWaitingIn(std::nullopt, refused.id))
            continue;
        m_waiting.erase(refused.id);
        decisions.refusals.push_back(refused);
    }
    std::ranges::copy(own.waitReports, std::back_inserter(decisions.waitReports));
}

void slot_client::startOwn(const grant& granted)
{
    const auto found = m_waiting.find(granted.id);
    const auto pool = poolOfReplica(granted.replica);
    const auto previous = m_running.find(granted.id);
    if (previous != m_running.end() && m_links[previous->second.pool].isOpen)
        release(m_links[previous->second.pool], { granted.id, outcome::timed_out, 0 });
    startRunning(found->second.request, granted, pool);
    if (m_links[pool].isOpen)
        m_links[pool].next.adopted.push_back(m_running.at(granted.id).request);
    m_waiting.erase(found);
}

std::vector<addressed_call> slot_client::takeCalls(monotonic_time now)
{
    m_hasUrgentCalls = false;
    std::vector<addressed_call> calls;
    for (std::uint32_t pool = 0; pool < pools(); ++pool) {
        if (auto call = nextCall(pool, now))
            calls.push_back({ *m_links[pool].owner, std::move(*call) });
    }
    return calls;
}

std::optional<slot_call> slot_client::nextCall(std::uint32_t pool, monotonic_time now)
{
    auto& link = m_links[pool];
    if (!link.owner)
        return std::nullopt;
    if (!link.isOpen) {
        if (now < link.nextOpenAt || isIdle(pool))
            return std::nullopt;
        openSession(pool, now);
        link.nextOpenAt = now + reopenInterval;
    } else {
        const bool waitsForOwner = std::ranges::any_of(m_waiting, [&](const auto& entry) { return entry.second.pool == pool; });
        const bool isCallDue = now - link.lastCallAt >= (waitsForOwner ? duration(waitingCallInterval) : duration(runningCallInterval));
        if (isCallDue && !isIdle(pool)) {
            collectProgress(pool);
            link.next.wantsReply = true;
        }
        const auto& next = link.next;
        if (!next.wantsReply && next.withdrawn.empty() && next.progress.empty() && next.outcomes.empty() && next.adopted.empty()
            && next.limits.empty() && next.notices.empty())
            return std::nullopt;
    }
    auto call = std::exchange(link.next, {});
    call.pool = { m_service, pool };
    call.domain = m_domain;
    call.session = link.session;
    call.sequence = ++link.lastCall;
    link.lastCallAt = now;
    const bool hasDecisions = std::ranges::any_of(
        m_received, [&](const received_decisions& received) { return received.pool == pool && received.session == link.session; });
    if (!hasDecisions)
        call.held = held_slots { heldIn(pool), link.lastReply };
    if (call.wantsReply && !link.awaitingSince) {
        link.awaitingSince = now;
        link.awaitedCall = call.sequence;
    }
    return call;
}

// A silent owner is called even without requests for it, to find out when it replies again.
bool slot_client::isIdle(std::uint32_t pool) const
{
    const auto uses = [pool](const auto& entry) { return entry.second.pool == pool; };
    return !m_links[pool].isSilent && std::ranges::none_of(m_waiting, uses) && std::ranges::none_of(m_running, uses);
}

std::vector<std::uint64_t> slot_client::requests() const
{
    std::vector<std::uint64_t> ids;
    std::ranges::copy(m_waiting | std::views::keys, std::back_inserter(ids));
    std::ranges::copy(m_running | std::views::keys, std::back_inserter(ids));
    return ids;
}

std::uint32_t slot_client::heldIn(std::uint32_t pool) const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(m_running, [pool](const auto& entry) { return entry.second.pool == pool; }));
}

} // namespace carawaylink::placement
