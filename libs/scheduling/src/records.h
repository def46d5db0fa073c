#pragma once

#include "cost_model.h"

#include "scheduling/pool_scheduler.h"
#include "scheduling/retry_budget.h"

#include <algorithm>
#include <array>
#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <cmath>
#include <string>
#include <tuple>
#include <vector>

namespace carawaylink {

struct endpoint_state;
struct flow;

/// Limited to 1e6 s (about 11 days), since larger values could overflow when added to a time point.
inline duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(std::min(seconds, 1e6)));
}

inline double toSeconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

inline std::string milliseconds(double seconds)
{
    return std::to_string(std::llround(seconds * 1000)) + " ms";
}

enum class request_phase {
    /// Received, but not admitted yet.
    arriving,
    /// In the queue of its team and tier.
    waiting,
    /// Removed from the queue and waiting for a slot of one chosen endpoint.
    parked,
    running,
};

inline constexpr auto requestPhaseNames = enumTable<request_phase>({
    { request_phase::arriving, "arriving" },
    { request_phase::waiting, "waiting" },
    { request_phase::parked, "parked" },
    { request_phase::running, "running" },
});

using set_hook = boost::intrusive::set_member_hook<>;
using list_hook = boost::intrusive::list_member_hook<>;

/// A waiting or running request. Its hooks link it into the intrusive containers below without further allocations.
struct request_record {
    scheduling_request request;
    flow* teamFlow = nullptr;
    request_phase phase = request_phase::arriving;
    bool longRequest = false;
    /// The request has been parked before; it is not parked again while a free endpoint can finish it in time.
    bool hasParked = false;
    /// The home node was told to cancel the stream.
    bool preempting = false;
    /// A stream was preempted for this request at the endpoint where it is parked.
    bool reserved = false;
    bool homeFailed = false;
    /// Runs as a probe of an ejected endpoint.
    bool probe = false;
    /// Estimated run time in seconds on a typical endpoint without a cached prefix; used for long_request_factor and wait estimates.
    double workSeconds = 0;
    double expectedOutput = 0;
    /// Tokens charged to the virtual time of the team.
    double chargeTokens = 0;
    /// When the request is checked next: while it waits, to displace less urgent tiers for it or to refuse it; while it runs, to free its
    /// slot.
    monotonic_time timer {};
    monotonic_time parkedUntil {};
    /// When this pool received the request; later than its arrival if another pool had it first.
    monotonic_time submitted {};
    /// Estimated run time in seconds on the best endpoint at admission; 0 if the estimate did not rest on recent samples.
    double admittedCostSeconds = 0;
    /// Latest estimate of the run time on the best endpoint, in seconds; 0 before the first.
    double bestCase = 0;

    endpoint_state* endpoint = nullptr;
    monotonic_time granted {};
    /// When progress of the request was last reported; initially the time of the grant.
    monotonic_time lastProgress {};
    /// When output tokens were last counted for the observed time per token.
    monotonic_time lastCounted {};
    std::int64_t countedTokens = 0;
    /// Estimated run time in seconds on the endpoint, at the time of the grant.
    double grantedCostSeconds = 0;
    std::int64_t expectedCached = 0;
    /// Requests running on the endpoint after the grant, including this one.
    double concurrency = 0;
    /// Prompt tokens expected to need prefill at the grant, all of them for a restored grant; a preemption wastes this work.
    std::int64_t uncachedPromptTokens = 0;
    std::string explanation;

    set_hook deadlineHook;
    set_hook timerHook;
    set_hook victimHook;
    list_hook endpointHook;
};

struct deadline_order {
    bool operator()(const request_record& left, const request_record& right) const
    {
        return std::tie(left.request.deadline, left.request.arrival, left.request.id)
            < std::tie(right.request.deadline, right.request.arrival, right.request.id);
    }
};

struct timer_order {
    bool operator()(const request_record& left, const request_record& right) const { return left.timer < right.timer; }
};

/// Least urgent tier first; within a tier, the least wasted prefill first.
struct victim_order {
    bool operator()(const request_record& left, const request_record& right) const
    {
        return std::tie(right.request.level, left.uncachedPromptTokens) < std::tie(left.request.level, right.uncachedPromptTokens);
    }
};

using deadline_set = boost::intrusive::set<request_record, boost::intrusive::compare<deadline_order>,
    boost::intrusive::member_hook<request_record, set_hook, &request_record::deadlineHook>>;
using timer_set = boost::intrusive::multiset<request_record, boost::intrusive::compare<timer_order>,
    boost::intrusive::member_hook<request_record, set_hook, &request_record::timerHook>>;
using victim_set = boost::intrusive::multiset<request_record, boost::intrusive::compare<victim_order>,
    boost::intrusive::member_hook<request_record, set_hook, &request_record::victimHook>>;
using endpoint_list
    = boost::intrusive::list<request_record, boost::intrusive::member_hook<request_record, list_hook, &request_record::endpointHook>>;

/// A hardware generation; endpoint speeds are compared only within one generation.
struct generation_record {
    speed_model speed;
    /// Median time per token of its endpoints in the last window, relative to the expected time per token; 0 before the first window.
    double medianRelativeTime = 0;
};

/// Output progress of one endpoint since the start of the current window.
struct progress_window {
    double tokens = 0;
    double streamSeconds = 0;
    double concurrencySeconds = 0;
};

/// Load of an endpoint that is not from this pool: the excess of the reported load over this pool's requests, for the last reports.
struct external_load {
    std::array<std::size_t, 3> excess {};
    std::size_t next = 0;
    monotonic_time lastReport {};
    /// Peak number of requests of this pool at the endpoint since each of these reports.
    std::array<std::size_t, 3> peakRunning {};
};

/// Endpoints are polled every 500 ms; after ten missed reports, the last one is ignored.
inline constexpr duration loadReportLifetime = std::chrono::seconds(5);

struct endpoint_state {
    endpoint_description description;
    generation_record* generation = nullptr;
    speed_model speed;
    /// Position in the prefix index; prefix_index::maxEndpoints if it has none.
    std::size_t position = 0;
    bool listed = false;
    bool leaving = false;
    bool ejected = false;
    /// Requests there that are not from this pool: the minimum over the last reports, or 0 once these are too old.
    std::size_t externalRunning(monotonic_time now) const
    {
        return now - external.lastReport > loadReportLifetime ? 0 : *std::ranges::min_element(external.excess);
    }

    std::size_t slowWindows = 0;
    std::size_t passedProbes = 0;
    monotonic_time nextProbe {};
    progress_window window;
    external_load external;
    circuit_breaker breaker;
    std::size_t running = 0;
    /// Running requests that are being preempted, and parked requests that wait for such a slot.
    std::size_t preempting = 0;
    std::size_t reserved = 0;
    /// Sum of grantedCostSeconds of the running requests.
    double workSeconds = 0;
    endpoint_list requests;
    endpoint_list parked;
    victim_set victims;

    bool eligible() const { return listed && !leaving; }
};

} // namespace carawaylink
