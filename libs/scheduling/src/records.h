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

struct endpoint_record;
struct flow;

/// Limited to about eleven days, since larger values overflow when they are added to a time point.
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
    /// Not admitted yet.
    arriving,
    /// In the queue of its team and tier.
    waiting,
    /// Out of the queue, waiting for a slot of one endpoint.
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

/// A request that waits or runs. Its hooks link it into the sets below without further allocations.
struct request_record {
    scheduling_request request;
    flow* owner = nullptr;
    request_phase phase = request_phase::arriving;
    bool longRequest = false;
    /// It has waited for one endpoint before; it does not do so again by choice.
    bool hasParked = false;
    /// The home was told to cancel the stream.
    bool preempting = false;
    /// A stream was preempted for it at the endpoint where it is parked.
    bool reserved = false;
    bool homeFailed = false;
    bool probe = false;
    /// Estimated seconds on a typical endpoint without cached prefix; used for long_request_factor and wait estimates.
    double work = 0;
    double expectedOutput = 0;
    /// Tokens charged to the virtual time of the team.
    double charge = 0;
    /// When tick() has to look at the request: to displace lower tiers or refuse it while it waits, to free its slot when it runs.
    monotonic_time timer {};
    monotonic_time parkedUntil {};
    /// When this pool received the request; later than its arrival where another pool had it first.
    monotonic_time submitted {};
    /// Estimated seconds on the best endpoint when it was admitted; 0 where nothing was learned yet.
    double admittedCost = 0;
    /// Last estimate of the run time on the best endpoint, in seconds; 0 before the first.
    double bestCase = 0;

    endpoint_record* endpoint = nullptr;
    monotonic_time granted {};
    monotonic_time lastHeard {};
    /// When output tokens were last counted for the observed pace.
    monotonic_time lastCounted {};
    std::int64_t countedTokens = 0;
    /// Estimated seconds on the endpoint at the time of the grant.
    double grantedCost = 0;
    std::int64_t expectedCached = 0;
    double concurrency = 0;
    /// Prompt tokens that a preemption wastes.
    std::int64_t waste = 0;
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

/// The lowest tier first, inside a tier the least wasted prefill.
struct victim_order {
    bool operator()(const request_record& left, const request_record& right) const
    {
        return std::tie(right.request.level, left.waste) < std::tie(left.request.level, right.waste);
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

/// Hardware generation: the endpoints whose paces are compared.
struct generation_record {
    speed_model speed;
    /// Median of the last window, as a multiple of the expected time per token; 0 before the first window.
    double medianPace = 0;
};

/// Output progress of one endpoint since the start of the current window.
struct pace_window {
    double tokens = 0;
    double streamSeconds = 0;
    double concurrencySeconds = 0;
};

/// Excess of an endpoint's reported load over what this pool had there, over the last reports.
struct foreign_load {
    std::array<std::size_t, 3> excess {};
    std::size_t next = 0;
    monotonic_time lastReport {};
    /// Most requests of this pool at the endpoint since the oldest of these reports.
    std::array<std::size_t, 3> mostRunning {};
};

/// Endpoints are polled every 500 ms; after ten missed reports the last one says nothing.
inline constexpr duration foreignLifetime = std::chrono::seconds(5);

struct endpoint_record {
    endpoint_description description;
    generation_record* generation = nullptr;
    speed_model speed;
    /// Position in the prefix index; prefix_index::maxEndpoints where it has none.
    std::size_t position = 0;
    bool listed = false;
    bool leaving = false;
    bool ejected = false;
    /// Work that others run there, by the last reports; 0 once these are too old.
    std::size_t foreignRunning(monotonic_time now) const
    {
        return now - foreign.lastReport > foreignLifetime ? 0 : *std::ranges::min_element(foreign.excess);
    }

    std::size_t badWindows = 0;
    std::size_t goodProbes = 0;
    monotonic_time nextProbe {};
    pace_window window;
    foreign_load foreign;
    circuit_breaker breaker;
    std::size_t running = 0;
    /// Running requests that are being preempted, and parked ones that wait for such a slot.
    std::size_t preempting = 0;
    std::size_t reserved = 0;
    /// Sum of grantedCost of the running requests.
    double work = 0;
    endpoint_list requests;
    endpoint_list parked;
    victim_set victims;

    bool eligible() const { return listed && !leaving; }
};

} // namespace carawaylink
