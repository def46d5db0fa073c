#include "exchange.h"

#include "base/time.h"

#include <algorithm>
#include <array>
#include <functional>

namespace carawaylink::gateway {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusRequestTimeout = 408;
constexpr unsigned statusMisdirected = 421;
constexpr unsigned statusTooManyRequests = 429;
constexpr unsigned statusServerError = 500;
constexpr unsigned statusBadGateway = 502;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusGatewayTimeout = 504;
// To callers, these statuses promise that the request was not executed and will not be.
constexpr std::array promisingStatuses { statusRequestTimeout, statusMisdirected, statusTooManyRequests, statusUnavailable };
constexpr auto endpointConnectTimeout = std::chrono::milliseconds(300);
// Limit of sends per request that did not reach the intended endpoint.
constexpr unsigned maxUndeliveredSends = 4;
// Maximum size of a buffered response.
constexpr std::size_t maxBufferedBytes = 8U << 20;
// Reading from the endpoint pauses while more than this is pending for a slow caller.
constexpr std::size_t maxPendingBytes = 256 * 1024;
// A resumable stream that delivers no event for this long is moved to another endpoint.
constexpr auto streamIdleTimeout = std::chrono::milliseconds(1200);
// Delay before another replacement is requested for an unresponsive endpoint.
constexpr auto replacementInterval = std::chrono::milliseconds(400);
// A retry with less time left than this is unlikely to succeed.
constexpr auto minRetryTime = std::chrono::milliseconds(60);
// Where no endpoint can be reached, an answer that pauses for this long does not go on.
constexpr auto pathSilence = std::chrono::milliseconds(600);
constexpr auto defaultRetryAfter = std::chrono::milliseconds(300);
// Events wait no longer than this for the record of their stream's start.
constexpr auto startRecordTimeout = std::chrono::milliseconds(700);

bool wasNotExecuted(placement::outcome result)
{
    return result == placement::outcome::unreachable || result == placement::outcome::rejected || result == placement::outcome::replaced;
}

placement::outcome outcomeOf(const http_result& result)
{
    switch (result.failure) {
    case http_failure::none:
        return placement::outcome::completed;
    case http_failure::connect:
        return placement::outcome::unreachable;
    case http_failure::idle:
        return placement::outcome::timed_out;
    case http_failure::invalid:
        return placement::outcome::invalid;
    case http_failure::cancelled:
        return placement::outcome::cancelled;
    case http_failure::broken:
        break;
    }
    return result.sent ? placement::outcome::broken : placement::outcome::unreachable;
}

bool promisesNotExecuted(unsigned status)
{
    return std::ranges::find(promisingStatuses, status) != promisingStatuses.end();
}

bool hasFraming(const http_response& head)
{
    return head.header("Content-Length") || head.header("Transfer-Encoding");
}

std::string commaSeparated(const std::vector<std::string>& entries)
{
    std::string text;
    for (const auto& entry : entries)
        text.append(text.empty() ? "" : ",").append(entry);
    return text;
}

} // namespace

prompt_quarantine::parts admitted_request::guardedParts() const
{
    auto result = sharedParts;
    result.push_back(identity);
    return result;
}

exchange::exchange(request_dispatcher& dispatcher, admitted_request admitted, std::shared_ptr<http_responder> responder)
    : m_dispatcher(dispatcher)
    , m_admitted(std::move(admitted))
    , m_responder(std::move(responder))
    , m_streamVersion(m_admitted.streamVersion)
    , m_splitter(m_admitted.metadata.lastEventId)
    , m_memory(dispatcher.memory(), "exchange", [this] { endForMemory(); })
{
}

void exchange::start()
{
    m_responder->onClosed([self = weak_from_this()] {
        if (const auto alive = self.lock())
            alive->onCallerClosed();
    });
    countMemory();
    enqueue(m_admitted.arrived, false);
}

void exchange::enqueue(monotonic_time now, bool wasAdmitted)
{
    m_state = state::waiting;
    // A stream that the caller has nothing of can begin anew.
    const bool canBeginAnew = !m_headForwarded && !m_admitted.streamVersion;
    if (isVersionGone() && canBeginAnew)
        forgetStream();
    if (isVersionGone())
        endVersionGone();
    else
        submit(now, wasAdmitted);
}

void exchange::submit(monotonic_time now, bool wasAdmitted)
{
    placement::waiting_request request;
    request.id = m_admitted.id;
    request.teamTier = m_admitted.teamTier;
    request.tier = m_admitted.route.tier;
    request.prompt = m_admitted.prompt;
    request.output = m_admitted.expectedOutput;
    request.arrived = m_admitted.arrived;
    request.deadline = m_admitted.responseDeadline;
    request.target = m_admitted.route.latencyTarget > duration {}
        ? std::min(m_admitted.arrived + m_admitted.route.latencyTarget, request.deadline)
        : request.deadline;
    // Gaps within a stream count against the latency target too, so a resumed stream is scheduled with a full new target.
    if (m_headForwarded)
        request.target = std::max(request.target, now + m_admitted.route.latencyTarget);
    request.maxEventGap = m_admitted.route.maxEventGap;
    request.excluded = m_triedReplicas;
    // A stream that is taken up was admitted before.
    request.wasAdmitted = wasAdmitted || m_admitted.streamVersion.has_value();
    request.version = requiredVersion();
    request.responseStarted = m_headForwarded;
    request.promptParts = m_admitted.promptParts;
    m_dispatcher.submit(shared_from_this(), std::move(request));
}

void exchange::onGranted(const placement::grant& grant)
{
    const auto now = std::chrono::steady_clock::now();
    if (!awaits("grant"))
        return;
    // By granting a replacement, the pool already removed the load of the unresponsive endpoint.
    if (std::exchange(m_isReplacementPending, false))
        endAttempt(placement::outcome::timed_out, "no progress within the expected time", true);
    m_holdsRetry = false;
    if (m_admitted.team && !std::exchange(m_isQuotaCommitted, true))
        m_dispatcher.commitQuota(*m_admitted.team, m_admitted.quotaUnits);
    m_grant = grant;
    m_state = state::sent;
    m_triedReplicas.push_back(grant.replica);
    m_head = { 0 };
    m_headMetadata = {};
    m_body.clear();
    m_splitter.restart();
    m_eventsBeforeAttempt = m_splitter.eventCount();
    m_sentAt = now;
    m_lastProgressAt = now;
    dispatch_metadata metadata { grant.replica, m_admitted.responseDeadline - now, m_admitted.team, m_splitter.lastId() };
    http_request request { m_admitted.request.method, m_admitted.request.target,
        m_dispatcher.codec().endpointHeaders(m_admitted.request, metadata), m_admitted.request.body };
    http_call_options options;
    options.connectTimeout = endpointConnectTimeout;
    options.idleTimeout = std::max<duration>(m_admitted.responseDeadline - now, endpointConnectTimeout);
    // All sends of a request bear the same attempt id. Without an id no answer can be told from a late one to another request.
    const auto& attempt = m_admitted.metadata.attempt;
    options.reuseConnection = !attempt.empty();
    options.answerKey = std::hash<std::string> {}(attempt);
    http_stream_handlers handlers;
    // A cancelled call may still invoke its handlers; only those of the latest call are processed.
    const auto number = ++m_callNumber;
    const auto self = shared_from_this();
    handlers.onHead = [self, number](const http_response& head) {
        if (self->m_callNumber == number)
            self->onResponseHead(head);
    };
    handlers.onData = [self, number](std::string_view bytes) {
        if (self->m_callNumber == number)
            self->onResponseData(bytes);
    };
    handlers.onDone = [self, number](const http_result& result) {
        if (self->m_callNumber == number)
            self->onCallDone(result);
    };
    m_sendVersion = m_dispatcher.slots().versionOf(grant.replica);
    recordStart();
    m_sends.begin();
    m_call = m_dispatcher.client().stream(grant.address.value, std::move(request), options, std::move(handlers));
    m_connection = m_call->connection();
    logSend();
}

void exchange::logSend()
{
    auto line = m_dispatcher.log().event("request_sent");
    line.field("request", m_admitted.metadata.attempt)
        .field("replica", m_grant.replica)
        .field("version", m_sendVersion)
        .field("attempt", m_triedReplicas.size())
        .field("waited_ms", wholeMilliseconds(m_sentAt - m_admitted.arrived))
        .field("expected_first_ms", wholeMilliseconds(m_grant.expectedFirstEvent))
        .field("running", m_grant.running)
        .field("resumes", m_admitted.metadata.resumedAttempt)
        .field("after_event", m_splitter.lastId().value_or(0))
        .field("connection", m_connection.number)
        .field("earlier_requests", m_connection.earlierRequests);
    if (m_admitted.promptParts.empty())
        return;
    line.field("kept_tokens", m_grant.kept).field("prefill_wait_ms", wholeMilliseconds(m_grant.prefillWait));
}

bool exchange::awaits(std::string_view decision)
{
    if (m_state == state::waiting || m_isReplacementPending)
        return true;
    m_dispatcher.log()
        .event("decision_unexpected", decision)
        .field("request", m_admitted.metadata.attempt)
        .field("decision", decision)
        .field("state", stateNames.name(m_state))
        .field("sends", m_sends.delivered())
        .field("may_have_run", m_sends.mayHaveExecuted());
    m_dispatcher.metrics().unexpectedDecision(decision);
    return false;
}

void exchange::onRefused(const placement::refusal& refusal)
{
    if (!awaits("refusal"))
        return;
    const auto notices = m_dispatcher.noticeCounts(m_admitted.service);
    m_dispatcher.log()
        .event("request_refused")
        .field("request", m_admitted.metadata.attempt)
        .field("route", m_admitted.route.name)
        .field("configuration", m_admitted.configuration)
        .field("cause", placement::refusalCauseNames.name(refusal.cause))
        .field("ahead", refusal.ahead)
        .field("waited_ms", wholeMilliseconds(std::chrono::steady_clock::now() - m_admitted.arrived))
        .field("retry_after_ms", wholeMilliseconds(refusal.retryAfter))
        .field("leaving", notices.leaving)
        .field("resting", notices.resting)
        .field("replaces", m_isReplacementPending);
    // The response of the unresponsive endpoint may still continue.
    if (std::exchange(m_isReplacementPending, false)) {
        m_nextReplacementAt = std::chrono::steady_clock::now() + replacementInterval;
        return;
    }
    if (m_headForwarded) {
        abortResponse("broken_off");
        return;
    }
    if (refusal.cause == placement::refusal_cause::version_gone && m_streamVersion) {
        endVersionGone();
        return;
    }
    if (m_endpointFailure) {
        respond(std::move(*m_endpointFailure), "endpoint_failure");
        return;
    }
    if (m_sends.mayHaveExecuted())
        respond(refusalResponse(statusBadGateway, "unknown", std::nullopt), "unknown_outcome");
    else
        respond(refusalResponse(statusUnavailable, placement::refusalCauseNames.name(refusal.cause), refusal.retryAfter), "refused");
}

void exchange::onResponseHead(const http_response& head)
{
    m_head = head;
    m_lastProgressAt = std::chrono::steady_clock::now();
    m_headMetadata = m_dispatcher.codec().decodeResponse(head, m_admitted.metadata.attempt);
    m_dispatcher.recordPathAnswer(m_admitted.service, m_connection.earlierRequests == 0);
    if (m_headMetadata.isMismatched) {
        attemptFailed(placement::outcome::invalid, "response to another attempt");
        return;
    }
    // It may be a late answer to an earlier request of the connection, and what it says is then not true of this one.
    if (m_headMetadata.identity == response_identity::none && m_connection.earlierRequests > 0) {
        attemptFailed(placement::outcome::invalid, "response without attempt id on a connection that carried other requests");
        return;
    }
    // Another process at the address speaks of itself.
    if (!m_headMetadata.isReplaced) {
        m_dispatcher.recordRequestLimit(*this, m_grant, m_headMetadata.requestLimit, m_sentAt);
        m_dispatcher.recordNotice(*this, m_grant, m_headMetadata);
    }
    const bool isStream = m_admitted.route.streaming && head.status == statusOk && m_headMetadata.isEventStream;
    m_state = isStream ? state::streaming : state::buffering;
}

void exchange::countMemory()
{
    m_memory.set(m_admitted.request.body.size() + m_body.size() + m_splitter.partialBytes() + m_waitingEvents.size());
}

void exchange::onResponseData(std::string_view bytes)
{
    const auto now = std::chrono::steady_clock::now();
    m_dispatcher.recordPathAnswer(m_admitted.service, false);
    if (m_state == state::buffering) {
        m_lastProgressAt = now;
        cancelReplacement();
        m_body += bytes;
        countMemory();
        if (m_body.size() > maxBufferedBytes)
            attemptFailed(placement::outcome::invalid, "response body exceeds the limit");
        return;
    }
    if (m_state != state::streaming)
        return;
    // Bytes that complete no event are no progress: a stalled endpoint may send one now and then.
    auto events = m_splitter.append(bytes);
    countMemory();
    if (!events.empty()) {
        m_lastProgressAt = now;
        cancelReplacement();
        forward(events);
    }
    if (m_splitter.hasGap())
        attemptFailed(placement::outcome::invalid, "event id missing in the stream");
    else if (m_splitter.hasOversizedEvent())
        attemptFailed(placement::outcome::invalid, "event exceeds the size limit");
}

void exchange::forward(const std::string& events)
{
    m_dispatcher.recordProgress(*this, eventsOfAttempt());
    recordAnswer();
    if (m_admitted.route.mayGoOnElsewhere() && !m_streamVersion)
        m_streamVersion = m_sendVersion;
    if (m_waitingEvents.empty())
        m_eventsWaitSince = m_lastProgressAt;
    m_waitingEvents += events;
    if (m_isStartRecorded)
        deliver();
    else
        countMemory();
}

void exchange::deliver()
{
    const auto now = std::chrono::steady_clock::now();
    if (!m_firstEventAt)
        m_firstEventAt = now;
    else
        m_longestEventGap = std::max(m_longestEventGap, now - m_lastForwardedAt);
    m_lastForwardedAt = now;
    if (!m_headForwarded) {
        m_headForwarded = true;
        m_dispatcher.metrics().firstEvent(now - m_admitted.arrived);
        m_callerStatus = m_head.status;
        m_responder->start(m_head.status, m_dispatcher.codec().callerHeaders(m_head));
    }
    m_responder->write(std::exchange(m_waitingEvents, {}));
    countMemory();
    if (m_responder->pendingBytes() <= maxPendingBytes || !m_call)
        return;
    m_call->pause();
    m_responder->onDrained([self = weak_from_this()] {
        if (const auto alive = self.lock(); alive && alive->m_call)
            alive->m_call->resume();
    });
}

void exchange::onCallDone(const http_result& result)
{
    m_call.reset();
    if (m_state == state::done)
        return;
    cancelReplacement();
    if (!result.ok()) {
        attemptFailed(outcomeOf(result), result.detail);
        return;
    }
    if (m_state == state::streaming)
        onStreamComplete();
    else
        onBodyComplete();
}

void exchange::onStreamComplete()
{
    if (m_splitter.hasPartialEvent()) {
        attemptFailed(placement::outcome::broken, "stream ended inside an event");
        return;
    }
    // The end of the connection ends such a stream, also where the endpoint ended before it wrote anything.
    if (!hasFraming(m_head) && eventsOfAttempt() == 0) {
        attemptFailed(placement::outcome::broken, "stream without length ended before its first event");
        return;
    }
    recordOutcome(placement::outcome::completed);
    m_dispatcher.recordCompletion(*this);
    m_isStreamComplete = true;
    if (m_waitingEvents.empty())
        finishStream();
}

void exchange::finishStream()
{
    if (!m_headForwarded) {
        m_headForwarded = true;
        m_callerStatus = m_head.status;
        m_responder->start(m_head.status, m_dispatcher.codec().callerHeaders(m_head));
    }
    end("served", [this] { m_responder->finish(); });
}

void exchange::onBodyComplete()
{
    if (m_headMetadata.notExecuted) {
        attemptFailed(m_headMetadata.isReplaced ? placement::outcome::replaced : placement::outcome::rejected,
            "status " + std::to_string(m_head.status));
        return;
    }
    recordAnswer();
    m_dispatcher.recordCompletion(*this);
    // The endpoint does not say that it did not execute the request, so its status must not say so to the caller.
    if (promisesNotExecuted(m_head.status) && !m_admitted.route.isSafeToRetry()) {
        attemptFailed(placement::outcome::failed, "status " + std::to_string(m_head.status) + " of a request that may have been executed");
        return;
    }
    http_response response { m_head.status, m_dispatcher.codec().callerHeaders(m_head), std::move(m_body) };
    if (m_head.status >= statusServerError) {
        m_endpointFailure = std::move(response);
        attemptFailed(placement::outcome::failed, "status " + std::to_string(m_head.status));
        return;
    }
    // The complete body counts as the first event, from which the pool updates its latency model.
    m_dispatcher.recordProgress(*this, eventsOfAttempt());
    if (m_headForwarded) {
        attemptFailed(placement::outcome::invalid, "resumed stream got a response that is not an event stream");
        return;
    }
    recordOutcome(placement::outcome::completed);
    m_dispatcher.metrics().firstEvent(std::chrono::steady_clock::now() - m_admitted.arrived);
    respond(std::move(response), "served");
}

void exchange::attemptFailed(placement::outcome result, const std::string& detail)
{
    cancelReplacement();
    if (result == placement::outcome::unreachable)
        m_dispatcher.recordPathFailure(m_admitted.service, m_grant);
    recordOutcome(result);
    const auto now = std::chrono::steady_clock::now();
    recordProof(result);
    if (result == placement::outcome::broken)
        m_dispatcher.recordLoss(*this, m_grant, eventsOfAttempt() > 0);
    // An unreachable endpoint did no work, so its retry needs no budget. A replaced one does: another process answered the request.
    const bool willRetry = canRetry(result, now) && (result == placement::outcome::unreachable || tryTakeRetry());
    endAttempt(result, detail, willRetry);
    if (willRetry)
        enqueue(now, true);
    else
        sendFailure(result);
}

void exchange::recordAnswer()
{
    if (!std::exchange(m_isAnswered, true))
        m_dispatcher.recordAnswer(*this);
}

void exchange::recordProof(placement::outcome result)
{
    if (!wasNotExecuted(result))
        return;
    // In these two cases the intended endpoint never received the request.
    const bool wasDelivered = result != placement::outcome::unreachable && result != placement::outcome::replaced;
    m_sends.proveNotExecuted(wasDelivered);
}

void exchange::endAttempt(placement::outcome result, const std::string& detail, bool willRetry)
{
    ++m_callNumber;
    if (const auto call = std::exchange(m_call, nullptr))
        call->cancel();
    m_dispatcher.log()
        .event("attempt_failed")
        .field("request", m_admitted.metadata.attempt)
        .field("replica", m_grant.replica)
        .field("outcome", placement::outcomeNames.name(result))
        .field("after_ms", wholeMilliseconds(std::chrono::steady_clock::now() - m_sentAt))
        .field("events", m_splitter.eventCount())
        .field("again", willRetry)
        .field("shared_parts", commaSeparated(m_admitted.metadata.sharedParts))
        .field("status", m_head.status)
        .field("not_executed", m_headMetadata.notExecuted)
        .field("names_attempt", responseIdentityNames.name(m_headMetadata.identity))
        .field("connection", m_connection.number)
        .field("earlier_requests", m_connection.earlierRequests)
        .field("detail", '"' + detail + '"');
    m_dispatcher.metrics().attemptFailed(result);
}

bool exchange::canRetry(placement::outcome result, monotonic_time now) const
{
    if (m_responder->closed() || m_admitted.responseDeadline - now < minRetryTime || m_sends.undelivered() >= maxUndeliveredSends)
        return false;
    const bool isUnsafe = m_sends.mayHaveExecuted() && !m_admitted.route.isSafeToRetry();
    if (isUnsafe || (m_admitted.isProbe && m_sends.delivered() > 0) || m_dispatcher.isQuarantined(*this))
        return false;
    if (result == placement::outcome::unreachable)
        return true;
    // A stream without event ids cannot be resumed.
    return m_sends.delivered() < m_admitted.route.maxAttempts && (!m_headForwarded || m_splitter.lastId());
}

bool exchange::tryTakeRetry()
{
    if (!m_holdsRetry)
        m_holdsRetry = m_dispatcher.tryTakeRetry(m_admitted.service);
    return m_holdsRetry;
}

void exchange::requestReplacement(monotonic_time now)
{
    if (now < m_nextReplacementAt || !canRetry(placement::outcome::timed_out, now) || !tryTakeRetry())
        return;
    m_isReplacementPending = true;
    submit(now, true);
}

void exchange::cancelReplacement()
{
    if (std::exchange(m_isReplacementPending, false))
        m_dispatcher.withdraw(*this);
}

void exchange::sendFailure(placement::outcome result)
{
    if (m_headForwarded) {
        abortResponse("broken_off");
    } else if (m_endpointFailure) {
        respond(std::move(*m_endpointFailure), "endpoint_failure");
    } else if (!m_sends.mayHaveExecuted()) {
        respond(refusalResponse(statusUnavailable, "endpoint_full", defaultRetryAfter), "refused");
    } else {
        const bool isTimeout = result == placement::outcome::timed_out || result == placement::outcome::cancelled;
        respond(refusalResponse(isTimeout ? statusGatewayTimeout : statusBadGateway, "unknown", std::nullopt), "unknown_outcome");
    }
}

void exchange::tick(monotonic_time now)
{
    if (m_state == state::done)
        return;
    if (now >= m_admitted.responseDeadline) {
        if (m_state == state::waiting) {
            m_dispatcher.withdraw(*this);
            onRefused({ m_admitted.id, placement::refusal_cause::deadline, defaultRetryAfter, 0 });
            return;
        }
        // A response that is merely long does not indicate a failing endpoint.
        const bool isUnresponsive = now - m_lastProgressAt > m_dispatcher.firstEventTimeout(*this);
        attemptFailed(isUnresponsive ? placement::outcome::timed_out : placement::outcome::cancelled, "deadline exceeded");
        return;
    }
    if (m_state == state::streaming && !m_waitingEvents.empty() && now - m_eventsWaitSince > startRecordTimeout) {
        onStartUnrecorded(now);
        return;
    }
    if (m_state == state::waiting || m_isReplacementPending || m_isStreamComplete || !m_admitted.route.isSafeToRetry())
        return;
    const auto limit = eventsOfAttempt() > 0 ? duration(streamIdleTimeout) : m_dispatcher.firstEventTimeout(*this);
    if (now - m_lastProgressAt > limit)
        requestReplacement(now);
}

void exchange::terminate()
{
    if (m_state == state::done)
        return;
    abandonAttempt();
    abortResponse("stopped");
}

void exchange::onCallerClosed()
{
    if (m_state == state::done)
        return;
    abandonAttempt();
    end("caller_left", [] {});
}

void exchange::abandonAttempt()
{
    ++m_callNumber;
    cancelReplacement();
    if (const auto call = std::exchange(m_call, nullptr))
        call->cancel();
    if (m_state == state::waiting)
        m_dispatcher.withdraw(*this);
    else
        recordOutcome(placement::outcome::cancelled);
}

void exchange::endUnanswered(std::string_view reason, duration retryAfter)
{
    const bool isBeingAnswered = m_isAnswered && m_state != state::waiting;
    if (m_state != state::done && !isBeingAnswered)
        endNow(reason, retryAfter);
}

void exchange::endWithoutPath(monotonic_time now)
{
    const bool isAnswered = m_state != state::waiting && now - m_lastProgressAt <= pathSilence;
    if (m_state != state::done && !isAnswered)
        endNow("no_path_to_endpoints", defaultRetryAfter);
}

std::optional<monotonic_time> exchange::waitsAtEndpointSince() const
{
    return m_state == state::sent ? std::optional(m_sentAt) : std::nullopt;
}

void exchange::endForMemory()
{
    const auto self = shared_from_this();
    if (m_state != state::done)
        endNow("out_of_memory", defaultRetryAfter);
}

void exchange::endNow(std::string_view reason, duration retryAfter)
{
    abandonAttempt();
    refuse(reason, retryAfter);
}

void exchange::refuse(std::string_view reason, std::optional<duration> retryAfter)
{
    if (m_headForwarded)
        abortResponse(reason);
    else if (m_sends.mayHaveExecuted())
        respond(refusalResponse(statusBadGateway, "unknown", std::nullopt), reason);
    else
        respond(refusalResponse(statusUnavailable, reason, retryAfter), reason);
}

void exchange::recordOutcome(placement::outcome result)
{
    // It tells nothing of the endpoint while this node may have lost its path to all of them.
    const bool isPathFailure
        = result == placement::outcome::unreachable || result == placement::outcome::timed_out || result == placement::outcome::broken;
    if (isPathFailure && m_dispatcher.isPathDoubtful(m_admitted.service))
        result = placement::outcome::cancelled;
    m_dispatcher.finishAttempt(*this, result, eventsOfAttempt());
}

void exchange::respond(http_response response, std::string_view reason)
{
    m_callerStatus = response.status;
    end(reason, [&] { m_responder->send(std::move(response)); });
}

void exchange::abortResponse(std::string_view reason)
{
    end(reason, [this] { m_responder->abort(); });
}

// The only place where an exchange ends. It is marked as ended before the caller is told, because a responder that aborts calls
// onCallerClosed() meanwhile.
template <std::invocable Action> void exchange::end(std::string_view result, Action tellCaller)
{
    if (std::exchange(m_state, state::done) == state::done)
        return;
    m_memory.set(0);
    tellCaller();
    if (m_admitted.team && !m_isQuotaCommitted)
        m_dispatcher.releaseQuota(*m_admitted.team, m_admitted.quotaUnits);
    m_dispatcher.log()
        .event("request_ended", result)
        .field("request", m_admitted.metadata.attempt)
        .field("route", m_admitted.route.name)
        .field("configuration", m_admitted.configuration)
        .field("result", result)
        .field("status", m_callerStatus)
        .field("sends", m_sends.delivered())
        .field("undelivered", m_sends.undelivered())
        .field("may_have_run", m_sends.mayHaveExecuted())
        .field("events", m_splitter.eventCount())
        .field("prompt_tokens", m_admitted.prompt)
        .field("expected_tokens", m_admitted.expectedOutput)
        .field("most_tokens", m_admitted.metadata.outputLimit.value_or(tokens { 0 }))
        .field("replica", m_grant.replica)
        .field("sent_ms", wholeMilliseconds(m_sends.delivered() > 0 ? m_sentAt - m_admitted.arrived : duration { -1 }))
        .field("expected_first_ms", wholeMilliseconds(m_grant.expectedFirstEvent))
        .field("first_ms", m_firstEventAt ? wholeMilliseconds(*m_firstEventAt - m_admitted.arrived) : -1)
        .field("longest_pause_ms", wholeMilliseconds(m_longestEventGap))
        .field("total_ms", wholeMilliseconds(std::chrono::steady_clock::now() - m_admitted.arrived));
    m_dispatcher.metrics().requestEnded(m_admitted.route.tier, result);
    m_dispatcher.onExchangeEnded(*this);
}

} // namespace carawaylink::gateway
