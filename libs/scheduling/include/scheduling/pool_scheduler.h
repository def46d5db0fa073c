#pragma once

#include "scheduling/types.h"

#include <memory>
#include <optional>
#include <span>

namespace carawaylink {

struct pool_scheduler_settings {
    /// A request is long if its estimated run time exceeds this multiple of the median of its tier; above 1.
    double longRequestFactor = 4.0;
    /// Maximum share of the slots held by long requests while shorter ones of the tier are queued, 0 to 1.
    double longSlotShare = 0.6;
    /// An endpoint is a straggler if its time per token exceeds this multiple of the median of its hardware generation; above 1.
    double stragglerFactor = 2.5;
    /// Maximum number of requests waiting in the pool.
    std::size_t maxWaiting = 10000;
    /// Whether running streams of less urgent tiers may be cancelled for more urgent ones.
    bool preemption = true;
    /// Time within which a home node must dispatch or return a grant.
    duration grantLifetime = std::chrono::seconds(1);
    /// Long requests of the least urgent tier in service are held back while more than this share of them is preempted, 0 to 1.
    /// Lower values waste less prefill work; 1 disables this limit.
    double preemptionRiskLimit = 0.5;
};

/// Counters for status pages, pool summaries and metrics.
struct pool_status {
    std::size_t waiting = 0;
    std::size_t running = 0;
    std::size_t slots = 0;
    /// Numerically highest (least urgent) tier among waiting and running requests; 0 if there are none.
    tier leastUrgentTierInService;
    duration waitEstimate {};
    /// Requests refused while a less urgent tier held queue space or slots that could have been taken from it.
    std::uint64_t inversions = 0;
};

/// State of one endpoint, for status pages.
struct endpoint_status {
    endpoint_id id;
    std::size_t running = 0;
    std::size_t maxRunning = 0;
    bool leaving = false;
    bool ejected = false;
    double prefillTokensPerSecond = 0;
    double millisecondsPerToken = 0;
};

/// Schedules the requests of one pool: strict tier priority, weighted fair queueing between teams, earliest deadline
/// first within a team, and placement by estimated cost and cached prefix. Not thread-safe; performs no I/O and reads no clock.
///
///     pool_scheduler pool(settings);
///     pool.setEndpoints(now, endpoints);
///     for (auto& action : pool.submit(now, request)) send(action);
class pool_scheduler {
public:
    explicit pool_scheduler(pool_scheduler_settings settings);
    ~pool_scheduler();
    pool_scheduler(pool_scheduler&&) noexcept;
    pool_scheduler& operator=(pool_scheduler&&) noexcept;

    void setSettings(const pool_scheduler_settings& settings);
    void setTeams(std::span<const team_share> teams);
    /// Replaces the list of endpoints. An endpoint that is no longer listed receives no further grants; its running requests stay
    /// counted.
    std::vector<scheduling_action> setEndpoints(monotonic_time now, std::span<const endpoint_description> endpoints);
    /// The endpoint receives no further grant until setEndpoints() lists it again after an absence.
    void markLeaving(const endpoint_id& endpoint);

    /// Queues a request and returns the resulting actions. A request id that is already known is ignored, so that a home node may
    /// repeat a submission.
    std::vector<scheduling_action> submit(monotonic_time now, scheduling_request request);
    /// Removes a waiting request; a granted one must be released instead.
    void cancel(monotonic_time now, const request_id& request);
    void recordProgress(monotonic_time now, const slot_progress& progress);
    std::vector<scheduling_action> release(monotonic_time now, const slot_release& release);
    /// Counts a request that the previous pool owner granted as running.
    void restoreGrant(monotonic_time now, scheduling_request request, const endpoint_id& endpoint, tokens outputTokens);

    void observe(monotonic_time now, const load_report& report);
    void observe(std::span<const cache_event> events);

    /// Handles deadlines, stragglers, waiting requests and grants whose home node stopped reporting; call at least every 50 ms.
    std::vector<scheduling_action> tick(monotonic_time now);
    /// Handles the failure of a home node: its waiting requests are dropped; its running ones keep their slots until the engine is
    /// expected to have finished them.
    std::vector<scheduling_action> handleHomeFailure(monotonic_time now, const node_id& home);

    pool_status status(monotonic_time now) const;
    std::vector<endpoint_status> endpoints() const;
    /// Text for `carawaylink explain`; nullopt if the request is neither active nor in the history.
    std::optional<std::string> explain(const request_id& request) const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace carawaylink
