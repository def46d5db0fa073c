#pragma once

#include "gateway/event_splitter.h"
#include "placement/prompt_parts.h"
#include "request_dispatcher.h"
#include "send_record.h"

#include <concepts>
#include <memory>
#include <string>
#include <vector>

namespace carawaylink::gateway {

/// Properties of a request that are fixed at admission.
struct admitted_request {
    std::uint64_t id = 0;
    http_request request;
    request_metadata metadata;
    /// A copy, because the configuration may change while the request is active.
    routing::route route;
    /// Version of the configuration that the route is from.
    config_version configuration;
    service_id service;
    std::optional<team_id> team;
    tier teamTier { 0 };
    double quotaUnits = 0;
    monotonic_time arrived;
    /// Earlier of the caller's deadline and the route's timeout.
    monotonic_time responseDeadline;
    tokens expectedOutput { 0 };
    tokens prompt { 0 };
    prompt_quarantine::parts sharedParts;
    /// Stands for the request itself: the same in each that a caller sends again.
    quarantine::part_hash identity;
    placement::prompt_parts promptParts;
    /// Probes quarantined parts: reaches one endpoint at most.
    bool isProbe = false;
    /// Version of the software that began the stream which the caller takes up.
    std::optional<std::string> streamVersion;

    /// What a quarantine may keep from endpoints.
    prompt_quarantine::parts guardedParts() const;
};

/// One request from admission to its final response: sends it to the granted endpoints, relays the response, retries where that is
/// safe, and reports to the caller whether a failed request may have been executed.
class exchange : public std::enable_shared_from_this<exchange> {
public:
    exchange(request_dispatcher& dispatcher, admitted_request admitted, std::shared_ptr<http_responder> responder);

    void start();
    /// Decisions of the pool. One that the exchange does not wait for has no effect.
    void onGranted(const placement::grant& grant);
    void onRefused(const placement::refusal& refusal);
    /// Enforces the deadline and requests a replacement for an unresponsive endpoint.
    void tick(monotonic_time now);
    /// Ends the request unless an endpoint is answering it; cancels its attempt.
    void endUnanswered(std::string_view reason, duration retryAfter);
    /// Ends the request because its messages hold the most memory while the node holds too much.
    void endForMemory();
    /// Ends the request unless an endpoint has answered it lately, since none can be reached from this node.
    void endWithoutPath(monotonic_time now);
    /// Since when the request waits for the first part of an answer; nullopt if it does not.
    std::optional<monotonic_time> waitsAtEndpointSince() const;
    /// Aborts the request immediately; used when a drain reaches its deadline.
    void terminate();

    std::uint64_t id() const { return m_admitted.id; }
    const service_id& service() const { return m_admitted.service; }
    const admitted_request& admitted() const { return m_admitted; }

private:
    enum class state {
        waiting,
        /// Sent; no response head received yet.
        sent,
        /// Buffering a complete response.
        buffering,
        streaming,
        done,
    };
    static constexpr auto stateNames = enumTable<state>({
        { state::waiting, "waiting" },
        { state::sent, "sent" },
        { state::buffering, "buffering" },
        { state::streaming, "streaming" },
        { state::done, "done" },
    });

    void enqueue(monotonic_time now, bool wasAdmitted);
    void submit(monotonic_time now, bool wasAdmitted);
    /// Requests another endpoint; the current attempt continues until one is granted.
    void requestReplacement(monotonic_time now);
    void cancelReplacement();
    void endAttempt(placement::outcome result, const std::string& detail, bool willRetry);
    void onResponseHead(const http_response& head);
    void onResponseData(std::string_view bytes);
    void onCallDone(const http_result& result);
    void onBodyComplete();
    void onStreamComplete();
    void finishStream();
    void forward(const std::string& events);
    void attemptFailed(placement::outcome result, const std::string& detail);
    /// Complete events that the current attempt has delivered.
    std::size_t eventsOfAttempt() const { return m_splitter.eventCount() - m_eventsBeforeAttempt; }
    void recordAnswer();
    /// Counts the bytes that the request and its response hold.
    void countMemory();
    /// Cancels the attempt and refuses the request.
    void endNow(std::string_view reason, duration retryAfter);
    /// Ends the request with what is true of it: aborts a response that has begun, else says whether the request may have run.
    void refuse(std::string_view reason, std::optional<duration> retryAfter);
    /// Cancels the attempt, or withdraws the request while it waits.
    void abandonAttempt();
    /// Records that the latest send was not executed, if the outcome proves it.
    void recordProof(placement::outcome result);
    bool canRetry(placement::outcome result, monotonic_time now) const;
    bool tryTakeRetry();
    /// Has the start of the stream recorded, if the present send may begin one.
    void recordStart();
    void onStartRecorded();
    /// The store does not take the record: begins anew at the base version, or goes on without a record where no endpoint of it is left.
    void onStartUnrecorded(monotonic_time now);
    /// Version of the software that the request must go to; nullopt for any.
    std::optional<std::string> requiredVersion() const;
    /// The version that began the stream has no endpoint any more.
    bool isVersionGone() const;
    void endVersionGone() { refuse("stream_version_gone", std::nullopt); }
    /// Forgets the events of the stream, of which the caller has none.
    void forgetStream();
    /// Passes on the events that have waited for the record of their start.
    void deliver();
    void sendFailure(placement::outcome result);
    void respond(http_response response, std::string_view reason);
    void recordOutcome(placement::outcome result);
    void abortResponse(std::string_view reason);
    /// Ends the exchange with this result, unless it has ended; tellCaller ends the response.
    template <std::invocable Action> void end(std::string_view result, Action tellCaller);
    void logSend();
    /// Returns whether the exchange waits for a decision of the pool; logs the given one if it does not.
    bool awaits(std::string_view decision);
    void onCallerClosed();

    request_dispatcher& m_dispatcher;
    admitted_request m_admitted;
    std::shared_ptr<http_responder> m_responder;
    state m_state = state::waiting;
    std::shared_ptr<http_call> m_call;
    http_connection m_connection;
    /// Status that the caller got; 0 without a response.
    unsigned m_callerStatus = 0;
    std::uint64_t m_callNumber = 0;
    placement::grant m_grant;
    std::vector<discovery::replica_id> m_triedReplicas;
    send_record m_sends;
    /// The reserved quota units were committed.
    bool m_isQuotaCommitted = false;
    bool m_headForwarded = false;
    /// An endpoint began to answer.
    bool m_isAnswered = false;
    /// A request for a replacement endpoint is queued in the pool.
    bool m_isReplacementPending = false;
    /// One retry was taken from the budget and not used yet.
    bool m_holdsRetry = false;
    monotonic_time m_nextReplacementAt {};
    http_response m_head;
    response_metadata m_headMetadata;
    std::string m_body;
    std::optional<http_response> m_endpointFailure;
    /// Version of the endpoint of the latest send.
    std::string m_sendVersion;
    /// Version of the software that began the stream. All of its events come from endpoints of it.
    std::optional<std::string> m_streamVersion;
    /// Number of the send whose start is to be recorded.
    std::uint32_t m_startNumber = 0;
    bool m_isStartRecorded = true;
    /// Events that wait for the record.
    std::string m_waitingEvents;
    monotonic_time m_eventsWaitSince {};
    /// The endpoint has ended the stream.
    bool m_isStreamComplete = false;
    event_splitter m_splitter;
    std::size_t m_eventsBeforeAttempt = 0;
    monotonic_time m_sentAt;
    std::optional<monotonic_time> m_firstEventAt;
    monotonic_time m_lastForwardedAt {};
    /// Longest time between two forwarded events.
    duration m_longestEventGap {};
    /// Time of the last response head, complete event or part of a buffered body.
    monotonic_time m_lastProgressAt;
    memory_budget::holding m_memory;
};

} // namespace carawaylink::gateway
