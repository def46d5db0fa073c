#include "placement/service_pool.h"

#include "base/time.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <numeric>
#include <tuple>

namespace carawaylink::placement {

namespace {

// Memory is planned by expected output length; the rest is a reserve for longer responses.
constexpr double maxMemoryUtilization = 0.9;
// Fraction of the permitted event gap that prefilling prompts may use up.
constexpr double maxEventGapUtilization = 0.9;
// An endpoint with running requests of this node gets no new ones if it has made no progress for this long plus twice the expected time of
// its pending prefill.
constexpr auto stallTimeout = std::chrono::milliseconds(500);
// Interval at which one request tries a stalled endpoint again.
constexpr auto stallRetryInterval = std::chrono::seconds(5);
// A stalled endpoint is tried only if no other has a slot.
constexpr double stalledPenaltyMs = 10'000;
// Penalty in the score of a fully used endpoint, so that similar endpoints fill evenly.
constexpr double utilizationPenaltyMs = 60;
// Weight of the streaming time in the score, relative to the time to the first event.
constexpr double streamingWeight = 0.3;
// 95 % of responses are at most this many times longer than expected.
constexpr double lengthMargin = 1.7;
// Scores within this fraction of the best one count as equal for nodes that decide without the owner.
constexpr double scoreTolerancePerNode = 0.03;
// Time that a request loses by a handshake with its endpoint, and by the way to another failure domain and back.
constexpr double handshakeMs = 3;
constexpr double otherDomainMs = 3;
// Interval at which outdated estimates of connections are dropped.
constexpr auto connectionExpiryInterval = std::chrono::seconds(2);
// What an endpoint said of itself is kept for this long after the registry has stopped listing it. Far longer than the registry, a copy or
// a snapshot of it may still list the process.
constexpr auto noticeRetention = std::chrono::minutes(10);
// Window for measuring the rate at which queued requests start.
constexpr auto queueRateWindow = std::chrono::seconds(1);
// Minimum time between two passes over the queue if nothing has changed that could start a request.
constexpr auto idlePassInterval = std::chrono::milliseconds(10);
// Minimum number of requests assumed to start per window.
constexpr double minStartsPerWindow = 2;
// Safety margin before the latency target.
constexpr auto targetMargin = std::chrono::milliseconds(15);
// A wait is reported once it exceeds this.
constexpr auto waitReportThreshold = std::chrono::milliseconds(100);
// Queue time that is acceptable in addition to a multiple of the latency target.
constexpr auto queueTimeAllowance = std::chrono::milliseconds(500);
constexpr auto minRetryAfter = std::chrono::milliseconds(200);
constexpr auto maxRetryAfter = std::chrono::seconds(4);
// Number of events after which a response in progress is used to learn the event rate.
constexpr std::size_t minEventsForRate = 4;
// The time to the first event is attributed to the request's own prompt if the prefill queued before it is at most this fraction of its
// own.
constexpr double maxQueuedFraction = 0.1;
// A request without a first event times out after this multiple of the predicted time.
constexpr int firstEventTimeoutFactor = 4;
constexpr auto minFirstEventTimeout = std::chrono::milliseconds(500);

} // namespace

void service_pool::setEndpoints(const std::vector<discovery::endpoint_record>& records, monotonic_time now)
{
    for (auto& [id, endpoint] : m_endpoints) {
        if (std::exchange(endpoint.isListed, false))
            endpoint.unlistedAt = now;
    }
    const auto typical = meanEndpointSpeed();
    for (const auto& record : records) {
        const auto [position, inserted] = m_endpoints.try_emplace(record.id);
        auto& endpoint = position->second;
        const bool restarted
            = !inserted && (endpoint.record.startedAtMs != record.startedAtMs || endpoint.record.address != record.address);
        if (restarted) {
            endpoint.health = {};
            endpoint.limit = {};
        }
        endpoint.record = record;
        endpoint.notice.registered(record.startedAtMs);
        endpoint.isListed = true;
        if (inserted) {
            endpoint.lastProgress = now;
            endpoint.model.setInitialEstimate(typical);
        }
    }
    std::erase_if(m_endpoints, [now](const auto& entry) { return isForgotten(entry.second, now); });
    m_hasChanged = true;
}

endpoint_speed service_pool::meanEndpointSpeed() const
{
    std::vector<endpoint_speed> speeds;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (endpoint.model.combined().samples > 0)
            speeds.push_back(endpoint.model.combined());
    }
    return meanSpeed(speeds);
}

void service_pool::setShare(std::size_t rank, std::size_t count)
{
    m_rank = rank;
    m_nodeCount = std::max<std::size_t>(count, 1);
}

void service_pool::setReportedSpeed(const replica_id& replica, const endpoint_speed& speed)
{
    const auto found = m_endpoints.find(replica);
    if (found != m_endpoints.end())
        found->second.model.setReported(speed);
}

std::optional<endpoint_speed> service_pool::speedOf(const replica_id& replica) const
{
    const auto found = m_endpoints.find(replica);
    return found == m_endpoints.end() ? std::nullopt : std::optional(found->second.model.combined());
}

std::map<replica_id, endpoint_speed> service_pool::speeds() const
{
    std::map<replica_id, endpoint_speed> result;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (endpoint.model.combined().samples > 0)
            result.emplace(id, endpoint.model.combined());
    }
    return result;
}

bool service_pool::setRequestLimit(const replica_id& replica, double perSecond, monotonic_time now)
{
    const auto found = m_endpoints.find(replica);
    if (found == m_endpoints.end())
        return false;
    auto& limit = found->second.limit;
    const bool hasChanged = limit.perSecond() != perSecond;
    // Nodes that share the endpoint start at different levels, so that they do not all send at the same time.
    limit.set(perSecond, share() * static_cast<double>(positionAt(replica)), share(), now);
    return hasChanged;
}

bool service_pool::liftRequestLimit(const replica_id& replica, monotonic_time sentAt)
{
    const auto found = m_endpoints.find(replica);
    if (found == m_endpoints.end() || !found->second.limit.lift(sentAt))
        return false;
    m_hasChanged = true;
    return true;
}

std::optional<double> service_pool::requestLimitOf(const replica_id& replica) const
{
    const auto found = m_endpoints.find(replica);
    return found == m_endpoints.end() ? std::nullopt : found->second.limit.perSecond();
}

std::map<replica_id, double> service_pool::requestLimits() const
{
    std::map<replica_id, double> result;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (const auto perSecond = endpoint.limit.perSecond(); perSecond && endpoint.isListed)
            result.emplace(id, *perSecond);
    }
    return result;
}

bool service_pool::setLeaving(const replica_id& replica, std::int64_t startedAtMs)
{
    const auto found = m_endpoints.find(replica);
    if (found == m_endpoints.end() || !found->second.notice.setLeaving(startedAtMs))
        return false;
    m_hasChanged = true;
    return true;
}

bool service_pool::setRest(const replica_id& replica, std::int64_t startedAtMs, const node_id& node, monotonic_time until)
{
    const auto found = m_endpoints.find(replica);
    return found != m_endpoints.end() && found->second.notice.setRest(startedAtMs, node, until);
}

std::optional<unusable_reason> service_pool::whyUnusable(const replica_id& replica, const node_id& sender, monotonic_time now) const
{
    const auto found = m_endpoints.find(replica);
    if (found == m_endpoints.end())
        return unusable_reason::unlisted;
    const auto reason = whyUnusable(found->second);
    if (!reason && found->second.notice.restUntil(sender, now))
        return unusable_reason::resting;
    return reason;
}

std::optional<unusable_reason> service_pool::whyUnusable(const endpoint_state& endpoint)
{
    if (!endpoint.isListed)
        return unusable_reason::unlisted;
    if (endpoint.record.draining)
        return unusable_reason::draining;
    if (endpoint.notice.isLeaving())
        return unusable_reason::leaving;
    return std::nullopt;
}

const endpoint_notice* service_pool::noticeOf(const replica_id& replica) const
{
    const auto found = m_endpoints.find(replica);
    return found == m_endpoints.end() ? nullptr : &found->second.notice;
}

std::vector<replica_id> service_pool::withNotice(monotonic_time now) const
{
    std::vector<replica_id> result;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (!endpoint.notice.isEmpty(now))
            result.push_back(id);
    }
    return result;
}

std::int64_t service_pool::startOf(const replica_id& replica) const
{
    const auto found = m_endpoints.find(replica);
    return found == m_endpoints.end() ? 0 : found->second.record.startedAtMs;
}

notice_counts service_pool::countNotices(monotonic_time now) const
{
    notice_counts counts;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (!endpoint.isListed)
            continue;
        counts.leaving += endpoint.notice.isLeaving() ? 1 : 0;
        counts.resting += endpoint.notice.rests(now) ? 1 : 0;
    }
    return counts;
}

// What an endpoint said must outlive an entry of the registry that is missing for a while.
bool service_pool::isForgotten(const endpoint_state& endpoint, monotonic_time now)
{
    const bool isRemembered = !endpoint.notice.isEmpty(now) && now - endpoint.unlistedAt < noticeRetention;
    return !endpoint.isListed && endpoint.load.running == 0 && !isRemembered;
}

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
    running_request running { request.replica, request.sender, request.prompt, m_prefillCost.work(request.prompt),
        tokens { request.prompt.value + request.output.value }, endpoint.load.pendingPrefill, now, std::nullopt,
        request.expectedFirstEvent };
    if (request.hasFirstEvent) {
        running.firstEventAt = now;
        running.isAdopted = true;
    }
    countRunning(endpoint, request.id, std::move(running), now);
    return !whyUnusable(endpoint);
}

bool service_pool::withdraw(std::uint64_t id)
{
    return std::erase_if(m_waiting, [id](const waiting_request& request) { return request.id == id; }) > 0;
}

pool_decisions service_pool::decide(monotonic_time now)
{
    pool_decisions decisions;
    if (m_waiting.empty())
        return decisions;
    beginPass(now);
    // Under overload the queue is long and rarely moves, so passes over it are spaced.
    if (!hasFreeSlot(now) && !m_hasChanged && now - m_lastPassAt < idlePassInterval)
        return decisions;
    m_hasChanged = false;
    m_lastPassAt = now;
    for (auto& request : m_waiting) {
        request.minTimeToFirstEvent = minTimeToFirstEvent(request, now);
        request.isLate = !canMeetTarget(request, now);
    }
    std::ranges::sort(m_waiting, std::ranges::less {}, [](const waiting_request& request) {
        return std::tuple(request.teamTier, request.isLate, request.tier, !request.wasAdmitted, request.target, request.id);
    });
    std::vector<waiting_request> remaining;
    bool mayStart = hasFreeSlot(now);
    for (auto& request : m_waiting) {
        // A request that cannot meet its target takes the best endpoint that is left.
        const auto chosen = mayStart ? chooseEndpoint(request, !request.isLate, now) : std::nullopt;
        if (chosen) {
            decisions.grants.push_back(startRequest(request, *chosen, now));
            mayStart = hasFreeSlot(now);
            continue;
        }
        if (const auto refused = checkRefusal(request, remaining.size(), now)) {
            decisions.refusals.push_back(*refused);
            continue;
        }
        if (!request.isReported && now - request.arrived > waitReportThreshold) {
            request.isReported = true;
            decisions.waitReports.push_back(explainWait(request, remaining.size(), now));
        }
        remaining.push_back(std::move(request));
    }
    m_waiting = std::move(remaining);
    return decisions;
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

bool service_pool::hasFreeSlot(monotonic_time now) const
{
    return std::ranges::any_of(
        m_usable, [&](const endpoint_state* endpoint) { return hasFreeSlot(*endpoint, now) && isUsable(*endpoint, now); });
}

bool service_pool::hasFreeSlot(const endpoint_state& endpoint, monotonic_time now) const
{
    return endpoint.load.running < usableSlots(endpoint) && endpoint.limit.allows(share(), now);
}

// The margin keeps requests that would narrowly miss their target from being ordered before those that can meet it.
bool service_pool::canMeetTarget(const waiting_request& request, monotonic_time now)
{
    const auto& fastest = request.minTimeToFirstEvent;
    return fastest && now + 3 * *fastest / 2 + targetMargin <= request.target;
}

bool service_pool::canFinish(const waiting_request& request, monotonic_time now) const
{
    const auto work = m_prefillCost.work(request.prompt);
    return std::ranges::any_of(m_usable, [&](const endpoint_state* endpoint) {
        return !isExcluded(*endpoint, request, now)
            && now + endpoint->model.timeToFirstEvent(tokens { 0 }, work) + timeToFinish(endpoint->model, request) <= request.deadline;
    });
}

// A response cut off at its deadline has occupied a slot for the whole time, so the expected length needs a margin.
duration service_pool::timeToFinish(const latency_model& model, const waiting_request& request) const
{
    return model.timeToStream(lengthMargin * expectedEvents(request));
}

wait_report service_pool::explainWait(const waiting_request& request, std::size_t ahead, monotonic_time now) const
{
    wait_report report { request.id, now - request.arrived, ahead };
    for (const auto& [id, endpoint] : m_endpoints) {
        if (!endpoint.isListed)
            continue;
        if (!isUsable(endpoint, now) || isExcluded(endpoint, request, now))
            ++report.unusable;
        else if (!hasCapacity(endpoint, request, now))
            ++report.full;
        else if (!keepsEventGap(endpoint, request))
            ++report.prefillBusy;
        else
            ++report.tooSlow;
    }
    return report;
}

std::optional<service_pool::candidate> service_pool::chooseEndpoint(const waiting_request& request, bool mustMeetTarget, monotonic_time now)
{
    std::vector<candidate> candidates;
    // If no endpoint is fast enough for the whole response, the length estimate may be wrong, so any endpoint may be tried.
    const bool mustFinish = canFinish(request, now);
    const auto work = m_prefillCost.work(request.prompt);
    std::optional<bool> exceedsEverywhere;
    // A prompt that exceeds the event gap on every endpoint is placed where no other prompt is being prefilled.
    const auto mayPrefill = [&](const endpoint_state& endpoint) {
        if (keepsEventGap(endpoint, request))
            return true;
        if (endpoint.load.pendingPrefill.value != 0)
            return false;
        if (!exceedsEverywhere)
            exceedsEverywhere = exceedsGapOnAllEndpoints(request, now);
        return *exceedsEverywhere;
    };
    for (auto* endpoint : m_usable) {
        if (!hasCapacity(*endpoint, request, now) || isExcluded(*endpoint, request, now) || !isUsable(*endpoint, now)
            || !mayPrefill(*endpoint))
            continue;
        const auto first = endpoint->model.timeToFirstEvent(endpoint->load.pendingPrefill, work);
        if (now + first > (mustMeetTarget ? request.target : request.deadline))
            continue;
        if (mustFinish && now + first + timeToFinish(endpoint->model, request) > request.deadline)
            continue;
        candidates.push_back({ endpoint, first, scoreOf(*endpoint, request, first, now) });
    }
    if (candidates.empty())
        return std::nullopt;
    // Nodes that decide without the owner have the same view and must not all choose the same endpoint.
    const auto bestCandidate = std::ranges::min(candidates, {}, &candidate::score);
    const double tolerance = scoreTolerancePerNode * static_cast<double>(m_nodeCount - 1);
    std::erase_if(candidates, [&](const candidate& other) { return other.score > bestCandidate.score * (1 + tolerance); });
    return candidates[m_random() % candidates.size()];
}

double service_pool::scoreOf(const endpoint_state& endpoint, const waiting_request& request, duration first, monotonic_time now) const
{
    const double load = static_cast<double>(endpoint.load.running) / std::max(endpoint.record.slots, 1U);
    double score = inMilliseconds(first) + streamingWeight * inMilliseconds(endpoint.model.timeToStream(expectedEvents(request)))
        + utilizationPenaltyMs * load * load;
    if (!m_connections.hasIdle(request.sender, endpoint.record.id, now))
        score += handshakeMs;
    if (endpoint.record.domain != request.domain)
        score += otherDomainMs;
    if (stalledSince(endpoint, now))
        score += stalledPenaltyMs;
    return score;
}

bool service_pool::isUsable(const endpoint_state& endpoint, monotonic_time now) const
{
    if (whyUnusable(endpoint) || endpoint.health.isReplaced())
        return false;
    if (endpoint.load.running >= endpoint.health.concurrencyLimit(now)
        && (endpoint.health.isUnreachable() || endpoint.health.failureRate() > m_medianFailureRate))
        return false;
    return !isStalled(endpoint, now);
}

bool service_pool::isExcluded(const endpoint_state& endpoint, const waiting_request& request, monotonic_time now) const
{
    return endpoint.notice.restUntil(request.sender, now)
        || std::ranges::find(request.excluded, endpoint.record.id) != request.excluded.end();
}

std::optional<monotonic_time> service_pool::firstRestEnd(const waiting_request& request, monotonic_time now) const
{
    std::optional<monotonic_time> first;
    for (const auto* endpoint : m_usable) {
        const auto until = endpoint->notice.restUntil(request.sender, now);
        if (until && (!first || *until < *first))
            first = until;
    }
    return first;
}

// Median failure rate. If most endpoints of a service fail alike, excluding the failing ones would leave none.
double service_pool::medianFailureRate() const
{
    std::vector<double> rates;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (endpoint.isListed)
            rates.push_back(endpoint.health.failureRate());
    }
    if (rates.empty())
        return 0;
    const auto median = rates.begin() + static_cast<std::ptrdiff_t>((rates.size() - 1) / 2);
    std::ranges::nth_element(rates, median);
    return *median;
}

std::optional<monotonic_time> service_pool::stalledSince(const endpoint_state& endpoint, monotonic_time now) const
{
    if (endpoint.load.running == 0)
        return std::nullopt;
    const auto expected = endpoint.model.timeToFirstEvent(endpoint.load.pendingPrefill, tokens { 0 });
    const auto since = endpoint.lastProgress + stallTimeout + 2 * expected;
    return now > since ? std::optional(since) : std::nullopt;
}

// Without a try now and then, the conclusion would last for as long as something counts as running there.
bool service_pool::isStalled(const endpoint_state& endpoint, monotonic_time now) const
{
    const auto since = stalledSince(endpoint, now);
    return since && now - std::max(*since, endpoint.stallTriedAt) < stallRetryInterval;
}

unsigned service_pool::usableSlots(const endpoint_state& endpoint) const
{
    const auto slots = std::max(endpoint.record.slots, 1U);
    const auto baseSlots = static_cast<unsigned>(slots / m_nodeCount);
    const auto remainder = slots % m_nodeCount;
    return baseSlots + (positionAt(endpoint.record.id) < remainder ? 1 : 0);
}

std::size_t service_pool::positionAt(const replica_id& replica) const
{
    return (m_rank + std::hash<std::string> {}(replica.value)) % m_nodeCount;
}

bool service_pool::hasCapacity(const endpoint_state& endpoint, const waiting_request& request, monotonic_time now) const
{
    if (!hasFreeSlot(endpoint, now))
        return false;
    // An idle endpoint accepts a request of any size; one above the memory limit could not be placed otherwise.
    if (!m_limits.memory || endpoint.load.running == 0)
        return true;
    const auto needed = endpoint.load.memory.value + request.prompt.value + request.output.value;
    return static_cast<double>(needed) <= maxMemoryUtilization * static_cast<double>(m_limits.memory->value);
}

bool service_pool::keepsEventGap(const endpoint_state& endpoint, const waiting_request& request) const
{
    if (request.maxEventGap == duration {} || endpoint.load.running == 0)
        return true;
    return expectedEventGapMs(endpoint, request, endpoint.load.pendingPrefill)
        <= maxEventGapUtilization * inMilliseconds(request.maxEventGap);
}

// Prompts are prefilled in chunks, one per decoding step of the running responses; an event holds several tokens.
double service_pool::expectedEventGapMs(const endpoint_state& endpoint, const waiting_request& request, tokens pendingPrefill) const
{
    const auto work = m_prefillCost.work(request.prompt);
    const auto chunk = m_prefillCost.lastChunkWork(request.prompt);
    const double prefillMs = inMilliseconds(endpoint.model.prefillTime(tokens { pendingPrefill.value + work.value }));
    const double slowedEventMs = m_limits.tokensPerEvent * inMilliseconds(endpoint.model.prefillTime(chunk));
    return inMilliseconds(endpoint.model.timeToStream(1)) + std::min(prefillMs, slowedEventMs);
}

bool service_pool::exceedsGapOnAllEndpoints(const waiting_request& request, monotonic_time now) const
{
    return std::ranges::none_of(m_usable, [&](const endpoint_state* endpoint) {
        return !isExcluded(*endpoint, request, now)
            && expectedEventGapMs(*endpoint, request, tokens { 0 }) <= maxEventGapUtilization * inMilliseconds(request.maxEventGap);
    });
}

std::optional<duration> service_pool::minTimeToFirstEvent(const waiting_request& request, monotonic_time now) const
{
    const auto work = m_prefillCost.work(request.prompt);
    std::optional<duration> fastest;
    for (const auto* endpoint : m_usable) {
        if (isExcluded(*endpoint, request, now))
            continue;
        const auto first = endpoint->model.timeToFirstEvent(tokens { 0 }, work);
        if (!fastest || first < *fastest)
            fastest = first;
    }
    return fastest;
}

double service_pool::expectedEvents(const waiting_request& request) const
{
    return static_cast<double>(request.output.value) / std::max(m_limits.tokensPerEvent, 1U);
}

grant service_pool::startRequest(const waiting_request& request, const candidate& chosen, monotonic_time now)
{
    recordOutcome(request.id, outcome::timed_out, 0, now);
    auto& endpoint = *chosen.endpoint;
    if (stalledSince(endpoint, now))
        endpoint.stallTriedAt = now;
    countRunning(endpoint, request.id,
        { endpoint.record.id, request.sender, request.prompt, m_prefillCost.work(request.prompt),
            tokens { request.prompt.value + request.output.value }, endpoint.load.pendingPrefill, now, std::nullopt,
            chosen.expectedFirstEvent },
        now);
    m_connections.use(request.sender, endpoint.record.id);
    m_recentGrants.push_back({ now, rankOf(request) });
    return { request.id, endpoint.record.id, endpoint.record.address, chosen.expectedFirstEvent, endpoint.load.running };
}

void service_pool::countRunning(endpoint_state& endpoint, std::uint64_t id, running_request running, monotonic_time now)
{
    if (endpoint.load.running == 0)
        endpoint.lastProgress = now;
    ++endpoint.load.running;
    endpoint.load.memory.value += running.memory.value;
    if (!running.firstEventAt) {
        endpoint.load.pendingPrefill.value += running.work.value;
        endpoint.limit.use(share(), now);
    }
    m_running[id] = std::move(running);
}

std::optional<refusal> service_pool::checkRefusal(const waiting_request& request, std::size_t ahead, monotonic_time now)
{
    if (request.responseStarted)
        return std::nullopt;
    const auto wait = expectedWait(request, ahead);
    const auto retryAfter = std::clamp<duration>(wait, minRetryAfter, maxRetryAfter);
    const auto& fastest = request.minTimeToFirstEvent;
    if (!fastest) {
        if (now + minRetryAfter <= request.target)
            return std::nullopt;
        const auto restEnd = firstRestEnd(request, now).value_or(now);
        const auto untilUsable = std::clamp<duration>(restEnd - now, retryAfter, maxRetryAfter);
        return refusal { request.id, refusal_cause::no_endpoint, untilUsable, ahead };
    }
    if (now + *fastest > request.deadline)
        return refusal { request.id, refusal_cause::deadline, retryAfter, ahead };
    // Half of the time is reserved for the response. A caller is better served by an early refusal than by a long wait without a result.
    const auto maxQueueTime
        = std::min<duration>((request.deadline - request.arrived) / 2, 3 * (request.target - request.arrived) + queueTimeAllowance);
    const auto latestStart = request.arrived + maxQueueTime;
    if (now + wait > latestStart)
        return refusal { request.id, refusal_cause::queue, retryAfter, ahead };
    return std::nullopt;
}

// The queue is served in order, so only recent starts at or behind this request's position in that order count.
duration service_pool::expectedWait(const waiting_request& request, std::size_t ahead) const
{
    std::size_t starts = 0;
    for (auto entry = m_startsByRank.lower_bound(rankOf(request)); entry != m_startsByRank.end(); ++entry)
        starts += entry->second;
    const double rate = std::max<double>(static_cast<double>(starts), minStartsPerWindow) / inSeconds(queueRateWindow);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(static_cast<double>(ahead) / rate));
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
        if (events > minEventsForRate && !running.isAdopted && !std::exchange(running.isEventRateRecorded, true))
            endpoint->second.model.recordEvents(events - 1, now - *running.firstEventAt);
        return;
    }
    running.firstEventAt = now;
    endpoint->second.load.pendingPrefill.value -= running.work.value;
    updateModels(endpoint->second.model, running, now - running.sent);
}

void service_pool::updateModels(latency_model& model, const running_request& running, duration elapsed)
{
    const bool isOwnPrefill
        = maxQueuedFraction * static_cast<double>(running.work.value) > static_cast<double>(running.queuedPrefill.value);
    if (isOwnPrefill && model.combined().samples > 0)
        m_prefillCost.recordSample(running.prompt, model.prefilledTokens(elapsed));
    model.recordFirstEvent(running.queuedPrefill, running.work, elapsed);
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
    --endpoint.load.running;
    endpoint.load.memory.value -= running.memory.value;
    if (!running.firstEventAt)
        endpoint.load.pendingPrefill.value -= running.work.value;
    m_hasChanged = true;
    if (result == outcome::completed || result == outcome::failed || result == outcome::rejected)
        endpoint.lastProgress = now;
    if (result == outcome::completed && running.firstEventAt && events > 1 && !running.isAdopted)
        endpoint.model.recordEvents(events - 1, now - *running.firstEventAt);
    endpoint.health.record(result, now);
    if (result == outcome::completed)
        m_connections.release(running.sender, running.replica, now);
    if (isForgotten(endpoint, now))
        m_endpoints.erase(position);
}

duration service_pool::firstEventTimeout(std::uint64_t id) const
{
    const auto found = m_running.find(id);
    if (found == m_running.end())
        return minFirstEventTimeout;
    return std::max<duration>(minFirstEventTimeout, firstEventTimeoutFactor * found->second.expectedFirstEvent);
}

std::map<replica_id, endpoint_load> service_pool::loads() const
{
    std::map<replica_id, endpoint_load> result;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (endpoint.load.running > 0)
            result.emplace(id, endpoint.load);
    }
    return result;
}

pool_load service_pool::totalLoad() const
{
    pool_load total;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (!whyUnusable(endpoint))
            total.slots += usableSlots(endpoint);
        total.running += endpoint.load.running;
    }
    total.waiting = static_cast<unsigned>(m_waiting.size());
    return total;
}

} // namespace carawaylink::placement
