#pragma once

#include "front.h"
#include "gateway/event_splitter.h"

#include <memory>
#include <string>
#include <vector>

namespace carawaylink::gateway {

/// What is decided about a request before it is placed.
struct admitted_request {
    std::uint64_t id = 0;
    http_request request;
    request_metadata facts;
    /// A copy, since the configuration may change while the request runs.
    routing::route route;
    service_id service;
    std::optional<team_id> team;
    tier teamTier { 0 };
    double quotaUnits = 0;
    monotonic_time arrived;
    /// The caller or the route waits no longer.
    monotonic_time finalBy;
    tokens expectedOutput { 0 };
    tokens prompt { 0 };
};

/// One request from admission to its final answer: sends it to the endpoints that it is granted, relays the response, repeats it
/// where that is allowed, and tells the caller the truth where it fails.
class exchange : public std::enable_shared_from_this<exchange> {
public:
    exchange(front& owner, admitted_request admitted, std::shared_ptr<http_responder> responder);

    void start();
    void granted(const placement::grant& grant);
    void refused(const placement::refusal& refusal);
    /// Ends what has passed its time and gives up on a silent endpoint.
    void tick(monotonic_time now);
    /// Ends at once; for a process that stops.
    void abandon();

    std::uint64_t id() const { return m_admitted.id; }
    const service_id& service() const { return m_admitted.service; }
    const admitted_request& admitted() const { return m_admitted; }

private:
    enum class state {
        waiting,
        /// Sent, no response yet.
        sent,
        /// A whole response is being collected.
        collecting,
        streaming,
        done,
    };

    void wait(monotonic_time now, bool returning);
    void submit(monotonic_time now, bool returning);
    /// Asks for another endpoint and keeps the response of the silent one until there is one.
    void seekReplacement(monotonic_time now);
    void stopSeeking();
    void leaveEndpoint(placement::outcome result, const std::string& detail, bool again);
    void headArrived(const http_response& head);
    void bytesArrived(std::string_view bytes);
    void callEnded(const http_result& result);
    void collected();
    void streamEnded();
    void forward(std::string events);
    void attemptFailed(placement::outcome result, const std::string& detail);
    void countFailure(placement::outcome result);
    bool canTryAgain(placement::outcome result, monotonic_time now) const;
    bool takeRepeat();
    void failFinally(placement::outcome result);
    void answer(http_response response, std::string_view reason);
    void endEndpoint(placement::outcome result);
    void finish(std::string_view result);
    void callerLeft();

    front& m_front;
    admitted_request m_admitted;
    std::shared_ptr<http_responder> m_responder;
    state m_state = state::waiting;
    std::shared_ptr<http_call> m_call;
    std::uint64_t m_callNumber = 0;
    placement::grant m_grant;
    std::vector<discovery::replica_id> m_tried;
    unsigned m_sends = 0;
    unsigned m_misses = 0;
    bool m_hasRun = false;
    /// Its quota units count as used.
    bool m_isCounted = false;
    bool m_headForwarded = false;
    /// A replacement of the endpoint in use waits in the pool.
    bool m_isSeeking = false;
    /// One repeat is taken from the budget and not used yet.
    bool m_holdsRepeat = false;
    monotonic_time m_nextSeek {};
    http_response m_head;
    response_metadata m_headFacts;
    std::string m_body;
    std::optional<http_response> m_failure;
    event_splitter m_events;
    std::size_t m_eventsBefore = 0;
    monotonic_time m_sentAt;
    std::optional<monotonic_time> m_firstAt;
    monotonic_time m_forwardedAt {};
    /// Between events that were passed on.
    duration m_longestPause {};
    monotonic_time m_lastByte;
};

} // namespace carawaylink::gateway
