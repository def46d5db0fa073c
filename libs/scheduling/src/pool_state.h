#pragma once

#include "prefix_index.h"
#include "records.h"
#include "straggler_detector.h"
#include "tier_queue.h"

#include "scheduling/pool_scheduler.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace carawaylink {

using actions = std::vector<scheduling_action>;

/// Estimate for running a request on one endpoint.
struct placement_option {
    endpoint_state* endpoint = nullptr;
    /// Estimated seconds until a slot is free.
    double wait = 0;
    /// Estimated run time in seconds.
    double cost = 0;
    /// Estimated seconds to the first token; part of the cost.
    double firstToken = 0;
    /// Lower is better.
    double score = 0;
    std::int64_t cachedTokens = 0;
    /// The last request to the endpoint failed.
    bool lastFailed = false;
};

/// Time from a preemption until its slot is free: the message to the home node, the cancellation, the release, and up to one period of
/// tick().
inline constexpr duration preemptionLatency = std::chrono::milliseconds(250);

/// Estimated run time on the best endpoint.
struct run_time {
    double seconds = 0;
    /// False if the estimate does not rest on recent samples; such an estimate orders requests but must not refuse any.
    bool learned = false;
    /// Seconds on the slowest endpoint that could still finish the request in time after a preemption.
    double slowest = 0;
};

/// State and scheduling decisions of pool_scheduler. The order of members ensures that sets are destroyed before the records they link.
struct pool_scheduler::implementation {
    explicit implementation(pool_scheduler_settings initial);

    // pool_state.cpp: request states and slot accounting.
    team_record& team(const team_id& id);
    flow& flowOf(team_record& owner, tier level);
    /// Sets the flow, the estimates and the length class of a new request.
    void initializeRecord(request_record& record);
    tier_queue& queueOf(const request_record& record) { return tiers.at(record.request.level); }
    endpoint_state& endpoint(const endpoint_id& id);
    void updateSlotCount();
    void setTimer(request_record& record, monotonic_time when);
    bool preemptionLikely(std::map<tier, tier_queue>::const_iterator level) const;
    bool longAllowed(tier level) const;
    void enqueue(request_record& record);
    void removeFromQueue(request_record& record);
    void park(monotonic_time now, request_record& record, endpoint_state& target, double wait);
    void unpark(request_record& record);
    void startRunning(monotonic_time now, request_record& record, endpoint_state& target);
    void stopRunning(request_record& record);
    void refuse(request_record& record, refusal_reason reason, std::string message, actions& out);
    void moveToHistory(request_record& record, std::string outcome, bool ran);
    speed_models modelsOf(endpoint_state& target) { return { &target.speed, &target.generation->speed, &poolSpeed }; }

    // placement.cpp: order of grants and choice of endpoints.
    std::size_t freeSlots(const endpoint_state& target, monotonic_time now) const;
    void grantWaiting(monotonic_time now, actions& out);
    void grantParked(monotonic_time now, actions& out);
    request_record* next();
    /// False if no endpoint has a free slot.
    bool place(monotonic_time now, request_record& record, actions& out);
    void grant(monotonic_time now, request_record& record, const placement_option& choice, actions& out);
    placement_option estimateOption(
        request_record& record, endpoint_state& target, const prefix_index::lengths& cached, bool isFree, bool isContended = false);
    bool mayProbe(monotonic_time now, const request_record& record, const placement_option& choice) const;
    double nextSlotWait(const endpoint_state& target) const;
    run_time bestRunTime(monotonic_time now, request_record& record);
    double waitEstimate(request_record& record);
    /// True if slots are neither abundant nor nearly exhausted.
    bool isModeratelyUtilized() const;
    /// True if the request meets its deadline on this endpoint even if it runs much longer than estimated.
    bool hasDeadlineSlack(monotonic_time now, const request_record& record, const placement_option& choice);
    /// Safety margin for run time estimates, as a share of the estimate.
    double estimateMargin() const;
    /// Time without progress messages after which a running request is considered lost.
    duration progressTimeout(const request_record& record) const;
    /// True if other requests of the same or a more urgent tier wait.
    bool hasContention(const request_record& record) const;

    // displacement.cpp: admission, displacement, preemption and deadlines.
    bool admit(monotonic_time now, request_record& record, actions& out);
    bool freeQueueSpace(monotonic_time now, request_record& record, actions& out);
    /// The waiting request of a tier to displace first, or nullptr.
    request_record* lastWaiting(tier level);
    bool displaceFromOwnTeam(request_record& record, actions& out);
    bool preemptFor(monotonic_time now, request_record& record, actions& out);
    /// The endpoint whose first victim should be preempted for the request, or nullptr. With `start`, only endpoints that could finish
    /// the request in time when started then are considered.
    endpoint_state* findVictimEndpoint(monotonic_time now, request_record& record, std::optional<monotonic_time> start);
    bool hasLessUrgentPreemptible(tier level) const;
    /// True if no more urgent tier has waiting, running or recent requests.
    bool isMostUrgentInService(tier level) const;
    /// Upper bound of the run time for nearly all requests, as a multiple of the estimate.
    double preemptionFactor() const;
    /// True while endpoints that could still finish the request in time run more less urgent streams than there are requests competing
    /// for them.
    bool mayDeferPreemption(monotonic_time now, request_record& record);
    /// When a waiting request starts to preempt less urgent tiers.
    monotonic_time preemptionDue(const request_record& record, const run_time& cost) const;
    void preempt(request_record& victim, actions& out);
    /// Preempts again for requests whose reserved slot was taken by a more urgent request.
    void renewLostReservations(monotonic_time now, actions& out);
    void countInversion(monotonic_time now, request_record& record, bool queueSpace);
    void checkWaiting(monotonic_time now, request_record& record, actions& out);
    void runTimers(monotonic_time now, actions& out);
    void refuseWithoutEndpoint(monotonic_time now, actions& out);

    // observation.cpp: updates from progress, releases and load reports.
    void recordStreamProgress(monotonic_time now, const slot_progress& progress);
    void updateModelsFromWindows(monotonic_time now);
    void updateModels(monotonic_time now, request_record& record, const slot_release& release);
    void correctCharge(request_record& record, const slot_release& release);
    void updatePrefixIndex(request_record& record, const slot_release& release);
    void evaluateProbe(monotonic_time now, request_record& record, const slot_release& release);
    void setLeaving(endpoint_state& target);
    void recordLoadReport(monotonic_time now, const load_report& report);

    pool_scheduler_settings settings;
    monotonic_time lastNow {};

    std::unordered_map<request_id, request_record> requests;
    std::unordered_map<team_id, team_record> teams;
    std::vector<std::unique_ptr<flow>> flows;
    std::map<tier, tier_queue> tiers;
    std::map<std::string, generation_record> generations;
    std::vector<std::unique_ptr<endpoint_state>> endpoints;
    std::unordered_map<endpoint_id, endpoint_state*> endpointsById;
    timer_set timers;

    prefix_index prefixes;
    std::uint64_t usedPositions = 0;
    straggler_detector stragglers;
    speed_model poolSpeed;
    output_shares outputShares;
    /// Observed run time divided by the estimate at the grant.
    recent_mean runTimeRatio;
    /// Observed run time divided by request_record::workSeconds.
    recent_mean workRatio;
    /// Run time of completed requests in seconds, for retry hints and wait estimates.
    recent_mean meanRunTime;

    std::size_t waiting = 0;
    std::size_t running = 0;
    std::size_t preempting = 0;
    /// Sum of maxRunning of the endpoints that receive regular requests, not only probes.
    std::size_t slots = 0;
    std::uint64_t inversions = 0;
    monotonic_time noEndpointSince {};

    struct history_entry {
        std::string text;
        /// The request ran; a repeated submission must be ignored.
        bool ran = false;
    };
    std::unordered_map<request_id, history_entry> history;
    std::deque<request_id> historyOrder;
};

} // namespace carawaylink
