#include "exchange.h"

namespace carawaylink::gateway {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusServerError = 500;
constexpr unsigned statusBadGateway = 502;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusGatewayTimeout = 504;
constexpr auto connectLimit = std::chrono::milliseconds(300);
// Endpoints that one request may find gone.
constexpr unsigned maxMisses = 4;
// Longest response that is collected before it is passed on.
constexpr std::size_t maxCollectedBytes = 8U << 20;
// Bytes that may wait for a slow caller before the endpoint is held back.
constexpr std::size_t maxPendingBytes = 256 * 1024;
// A resumable stream without bytes for this long continues elsewhere.
constexpr auto silentStream = std::chrono::milliseconds(1200);
// Pause before another search for a replacement of a silent endpoint.
constexpr auto seekPause = std::chrono::milliseconds(400);
// A repeat needs at least this much time to be of use.
constexpr auto shortestRepeat = std::chrono::milliseconds(60);
constexpr auto defaultRetryAfter = std::chrono::milliseconds(300);

long long inMilliseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

bool wasNotSent(placement::outcome result)
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
        return placement::outcome::silent;
    case http_failure::invalid:
        return placement::outcome::invalid;
    case http_failure::cancelled:
        return placement::outcome::cancelled;
    case http_failure::broken:
        break;
    }
    return result.sent ? placement::outcome::broken : placement::outcome::unreachable;
}

} // namespace

exchange::exchange(front& owner, admitted_request admitted, std::shared_ptr<http_responder> responder)
    : m_front(owner)
    , m_admitted(std::move(admitted))
    , m_responder(std::move(responder))
    , m_events(m_admitted.facts.lastEventId)
{
}

void exchange::start()
{
    m_responder->onClosed([self = weak_from_this()] {
        if (const auto alive = self.lock())
            alive->callerLeft();
    });
    wait(m_admitted.arrived, false);
}

void exchange::wait(monotonic_time now, bool returning)
{
    m_state = state::waiting;
    submit(now, returning);
}

void exchange::submit(monotonic_time now, bool returning)
{
    placement::waiting_request request;
    request.id = m_admitted.id;
    request.teamTier = m_admitted.teamTier;
    request.tier = m_admitted.route.tier;
    request.prompt = m_admitted.prompt;
    request.output = m_admitted.expectedOutput;
    request.arrived = m_admitted.arrived;
    request.deadline = m_admitted.finalBy;
    request.target = m_admitted.route.latencyTarget > duration {}
        ? std::min(m_admitted.arrived + m_admitted.route.latencyTarget, request.deadline)
        : request.deadline;
    // The pauses of a stream that goes on count as well, so it is urgent again.
    if (m_headForwarded)
        request.target = std::max(request.target, now + m_admitted.route.latencyTarget);
    request.longestPause = m_admitted.route.longestPause;
    request.excluded = m_tried;
    request.returning = returning;
    request.hasBegun = m_headForwarded;
    m_front.submit(shared_from_this(), std::move(request));
}

void exchange::granted(const placement::grant& grant)
{
    const auto now = std::chrono::steady_clock::now();
    // The pool has ended the load of the silent endpoint with the grant.
    if (std::exchange(m_isSeeking, false))
        leaveEndpoint(placement::outcome::silent, "no bytes within the expected time", true);
    m_holdsRepeat = false;
    if (m_admitted.team && !std::exchange(m_isCounted, true))
        m_front.commitQuota(*m_admitted.team, m_admitted.quotaUnits);
    m_grant = grant;
    m_state = state::sent;
    m_tried.push_back(grant.replica);
    m_head = {};
    m_body.clear();
    m_events.restart();
    m_eventsBefore = m_events.events();
    m_sentAt = now;
    m_lastByte = now;
    m_front.log()
        .event("request_sent")
        .field("request", m_admitted.facts.attempt)
        .field("replica", grant.replica)
        .field("attempt", m_tried.size())
        .field("waited_ms", inMilliseconds(now - m_admitted.arrived))
        .field("expected_first_ms", inMilliseconds(grant.expectedFirst))
        .field("running", grant.running);
    dispatch_metadata facts { grant.replica, m_admitted.finalBy - now, m_admitted.team, m_events.lastId() };
    http_request request { m_admitted.request.method, m_admitted.request.target, m_front.codec().endpointHeaders(m_admitted.request, facts),
        m_admitted.request.body };
    http_call_options options;
    options.connectTimeout = connectLimit;
    options.idleTimeout = std::max<duration>(m_admitted.finalBy - now, connectLimit);
    http_stream_handlers handlers;
    // A call that was given up may still report; only the newest one counts.
    const auto number = ++m_callNumber;
    const auto self = shared_from_this();
    handlers.onHead = [self, number](const http_response& head) {
        if (self->m_callNumber == number)
            self->headArrived(head);
    };
    handlers.onData = [self, number](std::string_view bytes) {
        if (self->m_callNumber == number)
            self->bytesArrived(bytes);
    };
    handlers.onDone = [self, number](const http_result& result) {
        if (self->m_callNumber == number)
            self->callEnded(result);
    };
    ++m_sends;
    m_call = m_front.client().stream(grant.address.value, std::move(request), options, std::move(handlers));
}

void exchange::refused(const placement::refusal& refusal)
{
    m_front.log()
        .event("request_refused")
        .field("request", m_admitted.facts.attempt)
        .field("route", m_admitted.route.name)
        .field("cause", placement::refusalCauseNames.name(refusal.cause))
        .field("ahead", refusal.ahead)
        .field("waited_ms", inMilliseconds(std::chrono::steady_clock::now() - m_admitted.arrived))
        .field("retry_after_ms", inMilliseconds(refusal.retryAfter))
        .field("replaces", m_isSeeking);
    // The response of the silent endpoint may still go on.
    if (std::exchange(m_isSeeking, false)) {
        m_nextSeek = std::chrono::steady_clock::now() + seekPause;
        return;
    }
    if (m_headForwarded) {
        m_responder->abort();
        finish("broken_off");
        return;
    }
    if (m_failure) {
        answer(std::move(*m_failure), "endpoint_failure");
        return;
    }
    if (m_hasRun)
        answer(refusalResponse(statusBadGateway, "unknown", std::nullopt), "unknown_outcome");
    else
        answer(refusalResponse(statusUnavailable, placement::refusalCauseNames.name(refusal.cause), refusal.retryAfter), "refused");
}

void exchange::headArrived(const http_response& head)
{
    m_head = head;
    m_lastByte = std::chrono::steady_clock::now();
    m_headFacts = m_front.codec().decodeResponse(head, m_admitted.facts.attempt);
    if (m_headFacts.isMismatched) {
        attemptFailed(placement::outcome::invalid, "response of another request");
        return;
    }
    const bool streams = m_admitted.route.streaming && head.status == statusOk && m_headFacts.isEventStream;
    m_state = streams ? state::streaming : state::collecting;
}

void exchange::bytesArrived(std::string_view bytes)
{
    m_lastByte = std::chrono::steady_clock::now();
    stopSeeking();
    if (m_state == state::collecting) {
        m_body += bytes;
        if (m_body.size() > maxCollectedBytes)
            attemptFailed(placement::outcome::invalid, "response body over the limit");
        return;
    }
    if (m_state != state::streaming)
        return;
    auto events = m_events.append(bytes);
    if (!events.empty())
        forward(std::move(events));
    if (m_events.hasGap())
        attemptFailed(placement::outcome::invalid, "an event of the stream is missing");
}

void exchange::forward(std::string events)
{
    m_front.endpointProgress(*this, m_events.events() - m_eventsBefore);
    if (!m_firstAt)
        m_firstAt = m_lastByte;
    else
        m_longestPause = std::max(m_longestPause, m_lastByte - m_forwardedAt);
    m_forwardedAt = m_lastByte;
    if (!m_headForwarded) {
        m_headForwarded = true;
        m_front.metrics().firstEvent(m_lastByte - m_admitted.arrived);
        m_responder->start(m_head.status, m_front.codec().callerHeaders(m_head));
    }
    m_responder->write(events);
    if (m_responder->pendingBytes() <= maxPendingBytes || !m_call)
        return;
    m_call->pause();
    m_responder->onDrained([self = weak_from_this()] {
        if (const auto alive = self.lock(); alive && alive->m_call)
            alive->m_call->resume();
    });
}

void exchange::callEnded(const http_result& result)
{
    m_call.reset();
    if (m_state == state::done)
        return;
    stopSeeking();
    if (!result.ok()) {
        attemptFailed(outcomeOf(result), result.detail);
        return;
    }
    if (m_state == state::streaming)
        streamEnded();
    else
        collected();
}

void exchange::streamEnded()
{
    if (m_events.hasPartialEvent()) {
        attemptFailed(placement::outcome::broken, "stream ended inside an event");
        return;
    }
    if (!m_headForwarded) {
        m_headForwarded = true;
        m_responder->start(m_head.status, m_front.codec().callerHeaders(m_head));
    }
    endEndpoint(placement::outcome::completed);
    m_responder->finish();
    finish("served");
}

void exchange::collected()
{
    if (m_headFacts.notExecuted) {
        attemptFailed(m_headFacts.isReplaced ? placement::outcome::replaced : placement::outcome::rejected,
            "status " + std::to_string(m_head.status));
        return;
    }
    http_response response { m_head.status, m_front.codec().callerHeaders(m_head), std::move(m_body) };
    if (m_head.status >= statusServerError) {
        m_failure = std::move(response);
        attemptFailed(placement::outcome::failed, "status " + std::to_string(m_head.status));
        return;
    }
    m_front.endpointProgress(*this, m_events.events() - m_eventsBefore);
    if (m_headForwarded) {
        attemptFailed(placement::outcome::invalid, "a continued stream got another kind of response");
        return;
    }
    endEndpoint(placement::outcome::completed);
    m_front.metrics().firstEvent(std::chrono::steady_clock::now() - m_admitted.arrived);
    answer(std::move(response), "served");
}

void exchange::attemptFailed(placement::outcome result, const std::string& detail)
{
    stopSeeking();
    endEndpoint(result);
    const auto now = std::chrono::steady_clock::now();
    countFailure(result);
    const bool again = canTryAgain(result, now) && (result == placement::outcome::unreachable || takeRepeat());
    leaveEndpoint(result, detail, again);
    if (again)
        wait(now, true);
    else
        failFinally(result);
}

void exchange::countFailure(placement::outcome result)
{
    if (!wasNotSent(result))
        m_hasRun = true;
    // The endpoint that was meant never had the request.
    const bool hadIt = result != placement::outcome::unreachable && result != placement::outcome::replaced;
    if (!hadIt) {
        --m_sends;
        ++m_misses;
    }
}

void exchange::leaveEndpoint(placement::outcome result, const std::string& detail, bool again)
{
    ++m_callNumber;
    if (const auto call = std::exchange(m_call, nullptr))
        call->cancel();
    m_front.log()
        .event("attempt_failed")
        .field("request", m_admitted.facts.attempt)
        .field("replica", m_grant.replica)
        .field("outcome", placement::outcomeNames.name(result))
        .field("after_ms", inMilliseconds(std::chrono::steady_clock::now() - m_sentAt))
        .field("events", m_events.events())
        .field("again", again)
        .field("detail", '"' + detail + '"');
    m_front.metrics().attemptFailed(result);
}

bool exchange::canTryAgain(placement::outcome result, monotonic_time now) const
{
    if (m_responder->closed() || m_admitted.finalBy - now < shortestRepeat || m_misses >= maxMisses)
        return false;
    if (m_hasRun && !m_admitted.route.mayRepeat())
        return false;
    if (result == placement::outcome::unreachable)
        return true;
    // A stream without ids cannot be continued.
    return m_sends < m_admitted.route.maxAttempts && (!m_headForwarded || m_events.lastId());
}

bool exchange::takeRepeat()
{
    if (!m_holdsRepeat)
        m_holdsRepeat = m_front.takeRepeat(m_admitted.service);
    return m_holdsRepeat;
}

void exchange::seekReplacement(monotonic_time now)
{
    if (now < m_nextSeek || !canTryAgain(placement::outcome::silent, now) || !takeRepeat())
        return;
    m_hasRun = true;
    m_isSeeking = true;
    submit(now, true);
}

void exchange::stopSeeking()
{
    if (std::exchange(m_isSeeking, false))
        m_front.withdraw(*this);
}

void exchange::failFinally(placement::outcome result)
{
    if (m_headForwarded) {
        m_responder->abort();
        finish("broken_off");
    } else if (m_failure) {
        answer(std::move(*m_failure), "endpoint_failure");
    } else if (!m_hasRun) {
        answer(refusalResponse(statusUnavailable, "endpoint_full", defaultRetryAfter), "refused");
    } else {
        const bool isTimeout = result == placement::outcome::silent || result == placement::outcome::cancelled;
        answer(refusalResponse(isTimeout ? statusGatewayTimeout : statusBadGateway, "unknown", std::nullopt), "unknown_outcome");
    }
}

void exchange::tick(monotonic_time now)
{
    if (m_state == state::done)
        return;
    if (now >= m_admitted.finalBy) {
        if (m_state == state::waiting) {
            m_front.withdraw(*this);
            refused({ m_admitted.id, placement::refusal_cause::deadline, defaultRetryAfter, 0 });
            return;
        }
        // A response that is only too long says nothing against the endpoint.
        const bool isSilent = now - m_lastByte > m_front.patience(*this);
        attemptFailed(isSilent ? placement::outcome::silent : placement::outcome::cancelled, "time is over");
        return;
    }
    if (m_state == state::waiting || m_isSeeking || !m_admitted.route.mayRepeat())
        return;
    const bool hasEvents = m_events.events() > m_eventsBefore;
    const auto limit = hasEvents ? duration(silentStream) : m_front.patience(*this);
    if (now - m_lastByte > limit)
        seekReplacement(now);
}

void exchange::abandon()
{
    if (m_state == state::done)
        return;
    ++m_callNumber;
    stopSeeking();
    if (const auto call = std::exchange(m_call, nullptr))
        call->cancel();
    m_responder->abort();
    finish("stopped");
}

void exchange::callerLeft()
{
    if (m_state == state::done)
        return;
    ++m_callNumber;
    const bool wasWaiting = m_state == state::waiting;
    stopSeeking();
    if (const auto call = std::exchange(m_call, nullptr))
        call->cancel();
    if (wasWaiting)
        m_front.withdraw(*this);
    else
        endEndpoint(placement::outcome::cancelled);
    finish("caller_left");
}

void exchange::endEndpoint(placement::outcome result)
{
    m_front.endpointFinished(*this, result, m_events.events() - m_eventsBefore);
}

void exchange::answer(http_response response, std::string_view reason)
{
    m_responder->send(std::move(response));
    finish(reason);
}

void exchange::finish(std::string_view result)
{
    m_state = state::done;
    if (m_admitted.team && !m_isCounted)
        m_front.releaseQuota(*m_admitted.team, m_admitted.quotaUnits);
    m_front.log()
        .event("request_ended", result)
        .field("request", m_admitted.facts.attempt)
        .field("route", m_admitted.route.name)
        .field("result", result)
        .field("sends", m_sends)
        .field("events", m_events.events())
        .field("prompt_tokens", m_admitted.prompt)
        .field("expected_tokens", m_admitted.expectedOutput)
        .field("most_tokens", m_admitted.facts.outputLimit.value_or(tokens { 0 }))
        .field("replica", m_grant.replica)
        .field("sent_ms", inMilliseconds(m_sends > 0 ? m_sentAt - m_admitted.arrived : duration { -1 }))
        .field("expected_first_ms", inMilliseconds(m_grant.expectedFirst))
        .field("first_ms", m_firstAt ? inMilliseconds(*m_firstAt - m_admitted.arrived) : -1)
        .field("longest_pause_ms", inMilliseconds(m_longestPause))
        .field("total_ms", inMilliseconds(std::chrono::steady_clock::now() - m_admitted.arrived));
    m_front.metrics().requestEnded(m_admitted.route.tier, result);
    m_front.ended(*this);
}

} // namespace carawaylink::gateway
