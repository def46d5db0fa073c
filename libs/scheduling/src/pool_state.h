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

/// Where a request could run.
struct placement_option {
    endpoint_record* endpoint = nullptr;
    /// Estimated seconds until a slot is free there, and on the endpoint.
    double wait = 0;
    double cost = 0;
    /// Estimated seconds to the first token; part of the cost.
    double firstToken = 0;
    /// Lower is better.
    double score = 0;
    std::int64_t cachedTokens = 0;
};

/// Time that a preemption needs until its slot is free: the message to the home, the cancellation and the release, and up to
/// one period of tick().
inline constexpr duration preemptionLead = std::chrono::milliseconds(250);

/// Estimated seconds on the best endpoint.
struct run_time {
    double seconds = 0;
    /// False where the estimate rests on priors only; such an estimate orders requests but refuses none.
    bool learned = false;
    /// On the slowest endpoint that could still finish the request in time after a preemption.
    double slowest = 0;
};

/// State and decisions of pool_scheduler. Members are declared so that sets are destroyed before the records they link.
struct pool_scheduler::implementation {
    explicit implementation(pool_scheduler_settings initial);

    // pool_state.cpp: records and accounting.
    team_record& team(const team_id& id);
    flow& flowOf(team_record& owner, tier level);
    /// Sets the flow, the estimates and the class of a new request.
    void describe(request_record& record);
    tier_queue& queueOf(const request_record& record) { return tiers.at(record.request.level); }
    endpoint_record& endpoint(const endpoint_id& id);
    void recount();
    void setTimer(request_record& record, monotonic_time when);
    bool preemptionLikely(std::map<tier, tier_queue>::const_iterator level) const;
    bool longAllowed(tier level) const;
    void enqueue(request_record& record);
    void unqueue(request_record& record);
    void park(monotonic_time now, request_record& record, endpoint_record& where, double wait);
    void unpark(request_record& record);
    void occupy(monotonic_time now, request_record& record, endpoint_record& where);
    void vacate(request_record& record);
    void refuse(request_record& record, refusal_reason reason, std::string message, actions& out);
    void forget(request_record& record, std::string outcome, bool ran);
    speed_models modelsOf(endpoint_record& where) { return { &where.speed, &where.generation->speed, &poolSpeed }; }

    // placement.cpp: the order of grants and the choice of an endpoint.
    std::size_t freeSlots(const endpoint_record& where, monotonic_time now) const;
    void dispatch(monotonic_time now, actions& out);
    void serveParked(monotonic_time now, actions& out);
    request_record* next();
    bool place(monotonic_time now, request_record& record, actions& out);
    void grant(monotonic_time now, request_record& record, const placement_option& option, actions& out);
    placement_option option(
        request_record& record, endpoint_record& where, const prefix_index::lengths& cached, bool isFree, bool crowded = false);
    bool mayProbe(monotonic_time now, const request_record& record, const placement_option& choice) const;
    double nextSlotWait(const endpoint_record& where) const;
    run_time bestCost(monotonic_time now, request_record& record);
    double waitEstimate(request_record& record);
    /// True where slots are neither plentiful nor exhausted.
    bool partlyBusy() const;
    /// True where the request meets its deadline there even if it runs much longer than estimated.
    bool isSafe(monotonic_time now, const request_record& record, const placement_option& choice);
    double margin() const;
    /// Time without a message after which a running request is taken for lost.
    duration silenceLimit(const request_record& record) const;
    bool contended(const request_record& record) const;

    // displacement.cpp: shedding, displacement and deadlines.
    bool admit(monotonic_time now, request_record& record, actions& out);
    bool makeRoom(monotonic_time now, request_record& record, actions& out);
    /// The waiting request of a tier that is displaced first, or nullptr.
    request_record* lastWaiting(tier level);
    bool displaceOwn(request_record& record, actions& out);
    bool preemptFor(monotonic_time now, request_record& record, actions& out);
    /// The endpoint whose first victim should be preempted for the request. With `start`, only endpoints that could finish the
    /// request in time from then on are considered.
    endpoint_record* findVictim(monotonic_time now, request_record& record, std::optional<monotonic_time> start);
    bool lowerPreemptible(tier level) const;
    /// True where no more urgent tier waits, runs or did so recently.
    bool mostUrgent(tier level) const;
    /// Estimate of the run time that nearly all requests stay below, as a multiple of the estimate.
    double preemptionFactor() const;
    /// True while endpoints that are still fast enough run more lower-tier streams than there are requests to claim them.
    bool mayDefer(monotonic_time now, request_record& record);
    /// When a waiting request begins to take slots from lower tiers.
    monotonic_time preemptionDue(const request_record& record, const run_time& cost) const;
    void preempt(request_record& victim, actions& out);
    /// Preempts again for requests whose reserved slot went to more urgent work.
    void renewReservations(monotonic_time now, actions& out);
    void countInversion(monotonic_time now, request_record& record, bool queueSpace);
    void checkWaiting(monotonic_time now, request_record& record, actions& out);
    void runTimers(monotonic_time now, actions& out);
    void refuseWithoutEndpoint(monotonic_time now, actions& out);

    // observation.cpp: what finished and running requests teach.
    void observeProgress(monotonic_time now, const slot_progress& progress);
    void learnFromWindows(monotonic_time now);
    void learn(monotonic_time now, request_record& record, const slot_release& release);
    void settleCharge(request_record& record, const slot_release& release);
    void settlePrefix(request_record& record, const slot_release& release);
    void judgeProbe(monotonic_time now, request_record& record, const slot_release& release);
    void setLeaving(endpoint_record& where);
    void observeLoad(monotonic_time now, const load_report& report);

    pool_scheduler_settings settings;
    monotonic_time lastNow {};

    std::unordered_map<request_id, request_record> requests;
    std::unordered_map<team_id, team_record> teams;
    std::vector<std::unique_ptr<flow>> flows;
    std::map<tier, tier_queue> tiers;
    std::map<std::string, generation_record> generations;
    std::vector<std::unique_ptr<endpoint_record>> endpoints;
    std::unordered_map<endpoint_id, endpoint_record*> endpointsById;
    timer_set timers;

    prefix_index prefixes;
    std::uint64_t usedPositions = 0;
    straggler_detector stragglers;
    speed_model poolSpeed;
    output_shares outputShares;
    /// Observed total time divided by the estimate at the grant.
    recent_mean estimateError;
    /// Observed total time divided by request_record::work.
    recent_mean workError;
    /// Seconds of a typical request, for retry hints and waits.
    recent_mean typicalWork;

    std::size_t waiting = 0;
    std::size_t running = 0;
    std::size_t preempting = 0;
    /// Sum of maxRunning of the endpoints that receive regular work.
    std::size_t slots = 0;
    std::uint64_t inversions = 0;
    monotonic_time noEndpointSince {};

    struct history_entry {
        std::string text;
        /// The request ran, so that a repeated submission must be ignored.
        bool ran = false;
    };
    std::unordered_map<request_id, history_entry> history;
    std::deque<request_id> historyOrder;
};

} // namespace carawaylink
