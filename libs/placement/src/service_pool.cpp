#include "placement/service_pool.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace carawaylink::placement {

namespace {

// Interval at which outdated estimates of connections are dropped.
constexpr auto connectionExpiryInterval = std::chrono::seconds(2);
// Minimum time between two passes over the queue if nothing has changed that could start a request.
constexpr auto idlePassInterval = std::chrono::milliseconds(10);
// A wait is reported once it exceeds this.
constexpr auto waitReportThreshold = std::chrono::milliseconds(100);
// Number of events after which a response in progress is used to learn the event rate.
constexpr std::size_t minEventsForRate = 4;
// A request without a first event times out after this multiple of the predicted time.
constexpr int firstEventTimeoutFactor = 4;
constexpr auto minFirstEventTimeout = std::chrono::milliseconds(500);

} // namespace

void service_pool::submit(waiting_request request)
{
    m_waiting.push_back(std::move(request));
    m_hasChanged = true;
}

bool service_pool::adopt(const adopted_request& request, monotonic_time now)
{
    recordOutcome(request.id, outcome::timed_out, 0, now);
    const auto found = m_endpoints.find(request.replica);
    if (found == m_endpoints.end())
        return false;
    auto& endpoint = found->second;
    running_request running { request.replica, request.sender, request.prompt, uncachedWork(request.prompt, request.kept),
        tokens { request.prompt.value + request.output.value }, endpoint.load.pendingPrefill, now, std::nullopt,
        request.expectedFirstEvent };
    // An owner adopts with the parts, some time after the request was sent, so that its time to the first event tells nothing on reuse.
    running.kept = request.promptParts.empty() ? request.kept : tokens { 0 };
    running.promptParts = request.promptParts;
    running.memoryLosses = endpoint.memoryLosses;
    if (request.hasFirstEvent) {
        running.firstEventAt = now;
        running.isAdopted = true;
        addPrefixes(endpoint, running);
    }
    countRunning(endpoint, request.id, std::move(running), now);
    return !whyUnusable(endpoint);
}

bool service_pool::withdraw(std::uint64_t id)
{
    const auto found = std::ranges::find(m_waiting, id, &waiting_request::id);
    if (found == m_waiting.end())
        return false;
    if (found->countedAt)
        m_floor.recordWithdrawal(urgencyOf(*found), *found->countedAt);
    m_waiting.erase(found);
    return true;
}

pool_decisions service_pool::decide(monotonic_time now)
{
    pool_decisions decisions;
    if (m_waiting.empty()) {
        m_floor.recordQueue(false, now);
        return decisions;
    }
    beginPass(now);
    // Under overload the queue is long and rarely moves, so passes over it are spaced.
    if (!hasFreeSlot(now) && !m_hasChanged && now - m_lastPassAt < idlePassInterval)
        return decisions;
    m_hasChanged = false;
    m_lastPassAt = now;
    sortQueue(now);
    std::vector<waiting_request> remaining;
    bool mayStart = hasFreeSlot(now);
    if (mayStart)
        promoteByFloor(now);
    std::map<urgency, std::size_t> waitingByUrgency;
    for (auto& request : m_waiting) {
        // A request that cannot meet its target takes the best endpoint that is left.
        const auto chosen = mayStart ? chooseEndpoint(request, !request.isLate, now) : std::nullopt;
        if (chosen) {
            decisions.grants.push_back(startRequest(request, *chosen, now));
            mayStart = hasFreeSlot(now);
            continue;
        }
        if (const auto refused = checkRefusal(request, { remaining.size(), waitingByUrgency[urgencyOf(request)] }, now)) {
            decisions.refusals.push_back(*refused);
            continue;
        }
        if (!request.isReported && now - request.arrived > waitReportThreshold) {
            request.isReported = true;
            decisions.waitReports.push_back(explainWait(request, remaining.size(), now));
        }
        ++waitingByUrgency[urgencyOf(request)];
        remaining.push_back(std::move(request));
    }
    m_waiting = std::move(remaining);
    m_floor.recordQueue(!m_waiting.empty(), now);
    return decisions;
}

void service_pool::sortQueue(monotonic_time now)
{
    for (auto& request : m_waiting) {
        request.minTimeToFirstEvent = minTimeToFirstEvent(request, now);
        request.isLate = !canMeetTarget(request, now);
        request.startsByFloor = false;
        // A request that was admitted before is counted already.
        if (!request.countedAt && !request.wasAdmitted) {
            request.countedAt = now;
            m_floor.recordArrival(urgencyOf(request), now);
        }
    }
    std::ranges::sort(m_waiting, std::ranges::less {}, [](const waiting_request& request) {
        return std::tuple(request.teamTier, request.isLate, request.tier, !request.wasAdmitted, request.target, request.id);
    });
}

// A rank whose first request is the first of the queue needs no floor now.
void service_pool::promoteByFloor(monotonic_time now)
{
    std::map<urgency, std::size_t> firstOfRank;
    for (std::size_t i = 0; i < m_waiting.size(); ++i)
        firstOfRank.try_emplace(urgencyOf(m_waiting[i]), i);
    const auto first = urgencyOf(m_waiting.front());
    std::erase_if(firstOfRank, [&](const auto& entry) { return entry.first == first || !m_floor.mayStart(entry.first, now); });
    if (firstOfRank.empty())
        return;
    for (const auto& [rank, index] : firstOfRank)
        m_waiting[index].startsByFloor = true;
    std::ranges::stable_partition(m_waiting, &waiting_request::startsByFloor);
}

void service_pool::beginPass(monotonic_time now)
{
    m_medianFailureRate = medianFailureRate();
    m_usable.clear();
    for (auto& [id, endpoint] : m_endpoints) {
        if (isUsable(endpoint, now))
            m_usable.push_back(&endpoint);
    }
    if (now - m_connectionsExpiredAt > connectionExpiryInterval) {
        m_connectionsExpiredAt = now;
        m_connections.expire(now);
    }
    while (!m_recentGrants.empty() && now - m_recentGrants.front().time > queueRateWindow)
        m_recentGrants.pop_front();
    m_startsByRank.clear();
    for (const auto& past : m_recentGrants)
        ++m_startsByRank[past.rank];
}

grant service_pool::startRequest(const waiting_request& request, const candidate& chosen, monotonic_time now)
{
    recordOutcome(request.id, outcome::timed_out, 0, now);
    auto& endpoint = *chosen.endpoint;
    if (stalledSince(endpoint, now))
        endpoint.stallTriedAt = now;
    const auto pending = endpoint.load.pendingPrefill;
    const auto prefillWait = request.promptParts.empty() ? duration {} : endpoint.model.prefillTime(pending);
    countRunning(endpoint, request.id,
        { endpoint.record.id, request.sender, request.prompt, uncachedWork(request.prompt, chosen.kept),
            tokens { request.prompt.value + request.output.value }, pending, now, std::nullopt, chosen.expectedFirstEvent,
            heldTokens(endpoint, request), request.promptParts, endpoint.memoryLosses, false, false, request.route },
        now);
    countSent(request, endpoint, now);
    m_connections.use(request.sender, endpoint.record.id);
    // A start by the floor is not available to others.
    if (!request.startsByFloor)
        m_recentGrants.push_back({ now, rankOf(request) });
    m_admissions.floorStarts += request.startsByFloor;
    m_floor.recordStart(urgencyOf(request), chosen.expectedFirstEvent + endpoint.model.timeToStream(expectedEvents(request)),
        request.startsByFloor, request.countedAt.has_value(), now);
    return { request.id, endpoint.record.id, endpoint.record.address, chosen.expectedFirstEvent, endpoint.load.running, chosen.kept,
        prefillWait };
}

void service_pool::countRunning(endpoint_state& endpoint, std::uint64_t id, running_request running, monotonic_time now)
{
    if (endpoint.load.running == 0)
        endpoint.lastProgress = now;
    ++endpoint.load.running;
    endpoint.load.memory.value += running.memory.value;
    if (endpoint.prefixes) {
        endpoint.prefixes->use(running.promptParts);
        endpoint.prefixes->limitTo(prefixCapacity(endpoint));
    }
    if (!running.firstEventAt) {
        endpoint.load.pendingPrefill.value += running.work.value;
        endpoint.limit.use(share(), now);
    }
    m_running[id] = std::move(running);
}

void service_pool::recordProgress(std::uint64_t id, std::size_t events, monotonic_time now)
{
    const auto found = m_running.find(id);
    if (found == m_running.end())
        return;
    auto& running = found->second;
    const auto endpoint = m_endpoints.find(running.replica);
    if (endpoint == m_endpoints.end())
        return;
    endpoint->second.lastProgress = now;
    if (running.firstEventAt) {
        if (events > minEventsForRate && !running.isAdopted && !std::exchange(running.isEventRateRecorded, true)) {
            const auto elapsed = now - *running.firstEventAt;
            endpoint->second.model.recordEvents(events - 1, elapsed);
            observe(version_event::interval, id, running, endpoint->second.isTarget, elapsed / static_cast<std::int64_t>(events - 1), {});
        }
        return;
    }
    running.firstEventAt = now;
    m_senderPaths.recordAnswer(running.sender, running.replica);
    observe(version_event::first_event, id, running, endpoint->second.isTarget, now - running.sent, {});
    endpoint->second.load.pendingPrefill.value -= running.work.value;
    updateModels(endpoint->second, running, now - running.sent);
    addPrefixes(endpoint->second, running);
}

void service_pool::recordOutcome(std::uint64_t id, outcome result, std::size_t events, monotonic_time now)
{
    const auto found = m_running.find(id);
    if (found == m_running.end())
        return;
    const auto running = found->second;
    m_running.erase(found);
    const auto position = m_endpoints.find(running.replica);
    if (position == m_endpoints.end())
        return;
    auto& endpoint = position->second;
    observe(version_event::ended, id, running, endpoint.isTarget, now - running.sent, result);
    --endpoint.load.running;
    endpoint.load.memory.value -= running.memory.value;
    if (!running.firstEventAt)
        endpoint.load.pendingPrefill.value -= running.work.value;
    m_hasChanged = true;
    if (result == outcome::completed || result == outcome::failed || result == outcome::rejected)
        endpoint.lastProgress = now;
    if (result == outcome::completed && running.firstEventAt && events > 1 && !running.isAdopted)
        endpoint.model.recordEvents(events - 1, now - *running.firstEventAt);
    if (m_senderPaths.record(running.sender, running.replica, result, now)) {
        endpoint.health.record(result, now);
        forgetAfter(result, endpoint, running, now);
    }
    // Its parts were in use until now, and no longer share the memory with its answer.
    if (running.firstEventAt)
        addPrefixes(endpoint, running);
    if (result == outcome::completed)
        m_connections.release(running.sender, running.replica, now);
    if (isForgotten(endpoint, now))
        m_endpoints.erase(position);
}

// An endpoint that holds less than assumed takes as long as without reuse, which is no reason to give it up.
duration service_pool::firstEventTimeout(std::uint64_t id) const
{
    const auto found = m_running.find(id);
    if (found == m_running.end())
        return minFirstEventTimeout;
    return std::max<duration>(minFirstEventTimeout, firstEventTimeoutFactor * expectedWithoutReuse(found->second));
}

} // namespace carawaylink::placement
