#include "placement/service_pool.h"

#include "base/time.h"

#include <algorithm>

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
// Prefill delays every running response of the endpoint once. A lower weight saves less prefill; a higher one overloads slow endpoints
// that hold the prefix.
constexpr double disturbanceWeight = 1;
// 95 % of responses are at most this many times longer than expected.
constexpr double lengthMargin = 1.7;
// Scores within this fraction of the best one count as equal for nodes that decide without the owner.
constexpr double scoreTolerancePerNode = 0.03;
// Time that a request loses by a handshake with its endpoint, and by the way to another failure domain and back.
constexpr double handshakeMs = 3;
constexpr double otherDomainMs = 3;

} // namespace

bool service_pool::hasFreeSlot(monotonic_time now) const
{
    return std::ranges::any_of(
        m_usable, [&](const endpoint_state* endpoint) { return hasFreeSlot(*endpoint, now) && isUsable(*endpoint, now); });
}

bool service_pool::hasFreeSlot(const endpoint_state& endpoint, monotonic_time now) const
{
    return endpoint.load.running < usableSlots(endpoint) && endpoint.limit.allows(share(), now);
}

bool service_pool::canFinish(const waiting_request& request, monotonic_time now) const
{
    return std::ranges::any_of(m_usable, [&](const endpoint_state* endpoint) {
        return !isExcluded(*endpoint, request, now)
            && now + endpoint->model.timeToFirstEvent(tokens { 0 }, fastestWork(*endpoint, request, now))
                + timeToFinish(endpoint->model, request)
            <= request.deadline;
    });
}

// A response cut off at its deadline has occupied a slot for the whole time, so the expected length needs a margin.
duration service_pool::timeToFinish(const latency_model& model, const waiting_request& request) const
{
    return model.timeToStream(lengthMargin * expectedEvents(request));
}

std::optional<service_pool::candidate> service_pool::chooseAmong(
    std::optional<bool> ofTarget, const waiting_request& request, bool mustMeetTarget, monotonic_time now)
{
    std::vector<candidate> candidates;
    // If no endpoint is fast enough for the whole response, the length estimate may be wrong, so any endpoint may be tried.
    const bool mustFinish = canFinish(request, now);
    std::optional<bool> exceedsEverywhere;
    // A prompt that exceeds the event gap on every endpoint is placed where no other prompt is being prefilled.
    const auto mayPrefill = [&](const endpoint_state& endpoint, tokens work) {
        if (keepsEventGap(endpoint, request, work))
            return true;
        if (endpoint.load.pendingPrefill.value != 0)
            return false;
        if (!exceedsEverywhere)
            exceedsEverywhere = exceedsGapOnAllEndpoints(request, now);
        return *exceedsEverywhere;
    };
    for (auto* endpoint : m_usable) {
        if (ofTarget && endpoint->isTarget != *ofTarget)
            continue;
        if (!hasCapacity(*endpoint, request, now) || isExcluded(*endpoint, request, now) || !isUsable(*endpoint, now))
            continue;
        const auto kept = believedTokens(*endpoint, request);
        const auto work = uncachedWork(request.prompt, kept);
        if (!mayPrefill(*endpoint, work))
            continue;
        const auto first = endpoint->model.timeToFirstEvent(endpoint->load.pendingPrefill, work);
        if (now + first > (mustMeetTarget ? request.target : request.deadline))
            continue;
        if (mustFinish && now + first + timeToFinish(endpoint->model, request) > request.deadline)
            continue;
        candidates.push_back({ endpoint, first, scoreOf(*endpoint, request, first, work, now), kept });
    }
    if (candidates.empty())
        return std::nullopt;
    // Nodes that decide without the owner have the same view and must not all choose the same endpoint.
    const auto bestCandidate = std::ranges::min(candidates, {}, &candidate::score);
    const double tolerance = scoreTolerancePerNode * static_cast<double>(m_nodeCount - 1);
    std::erase_if(candidates, [&](const candidate& other) { return other.score > bestCandidate.score * (1 + tolerance); });
    return candidates[m_random() % candidates.size()];
}

double service_pool::scoreOf(
    const endpoint_state& endpoint, const waiting_request& request, duration first, tokens work, monotonic_time now) const
{
    const double load = static_cast<double>(endpoint.load.running) / std::max(endpoint.record.slots, 1U);
    double score = inMilliseconds(first) + streamingWeight * inMilliseconds(endpoint.model.timeToStream(expectedEvents(request)))
        + utilizationPenaltyMs * load * load;
    // Without parts the work is the same everywhere, and the penalty for a used endpoint covers it.
    if (!request.promptParts.empty())
        score += disturbanceWeight * inMilliseconds(endpoint.model.prefillTime(work)) * endpoint.load.running;
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
    if (request.version && *request.version != endpoint.record.version)
        return true;
    return endpoint.notice.restUntil(request.sender, now) || m_senderPaths.isBlocked(request.sender, endpoint.record.id, now)
        || std::ranges::find(request.excluded, endpoint.record.id) != request.excluded.end();
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
    return keepsEventGap(endpoint, request, uncachedWork(request.prompt, believedTokens(endpoint, request)));
}

bool service_pool::keepsEventGap(const endpoint_state& endpoint, const waiting_request& request, tokens work) const
{
    if (request.maxEventGap == duration {} || endpoint.load.running == 0)
        return true;
    return expectedEventGapMs(endpoint, request, work, endpoint.load.pendingPrefill)
        <= maxEventGapUtilization * inMilliseconds(request.maxEventGap);
}

// Prompts are prefilled in chunks, one per decoding step of the running responses; an event holds several tokens.
double service_pool::expectedEventGapMs(
    const endpoint_state& endpoint, const waiting_request& request, tokens work, tokens pendingPrefill) const
{
    const auto chunk = std::min(m_prefillCost.lastChunkWork(request.prompt), work);
    const double prefillMs = inMilliseconds(endpoint.model.prefillTime(tokens { pendingPrefill.value + work.value }));
    const double slowedEventMs = m_limits.tokensPerEvent * inMilliseconds(endpoint.model.prefillTime(chunk));
    return inMilliseconds(endpoint.model.timeToStream(1)) + std::min(prefillMs, slowedEventMs);
}

// Without reuse, so that no request waits for the one endpoint that holds its beginning while others could prefill it alone.
bool service_pool::exceedsGapOnAllEndpoints(const waiting_request& request, monotonic_time now) const
{
    const auto work = m_prefillCost.work(request.prompt);
    return std::ranges::none_of(m_usable, [&](const endpoint_state* endpoint) {
        return !isExcluded(*endpoint, request, now)
            && expectedEventGapMs(*endpoint, request, work, tokens { 0 }) <= maxEventGapUtilization * inMilliseconds(request.maxEventGap);
    });
}

std::optional<duration> service_pool::minTimeToFirstEvent(const waiting_request& request, monotonic_time now) const
{
    std::optional<duration> fastest;
    for (const auto* endpoint : m_usable) {
        if (isExcluded(*endpoint, request, now))
            continue;
        const auto first = endpoint->model.timeToFirstEvent(tokens { 0 }, fastestWork(*endpoint, request, now));
        if (!fastest || first < *fastest)
            fastest = first;
    }
    return fastest;
}

double service_pool::expectedEvents(const waiting_request& request) const
{
    return static_cast<double>(request.output.value) / std::max(m_limits.tokensPerEvent, 1U);
}

} // namespace carawaylink::placement
