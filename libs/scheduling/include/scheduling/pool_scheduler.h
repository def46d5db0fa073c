#pragma once

#include "scheduling/types.h"

#include <memory>
#include <optional>
#include <span>

namespace carawaylink {

struct pool_scheduler_settings {
    /// A request is long where its estimated run time exceeds this many times the median of its tier; above 1.
    double longRequestFactor = 4.0;
    /// Share of the slots that long requests may hold while shorter ones of the tier are queued, 0 to 1.
    double longSlotShare = 0.6;
    /// An endpoint is a straggler where its time per token exceeds this many times the median of its generation; above 1.
    double stragglerFactor = 2.5;
    /// Requests that may wait in the pool.
    std::size_t maxWaiting = 10000;
    /// Whether running lower-tier streams may be cancelled for higher tiers.
    bool preemption = true;
    /// Time within which a home dispatches a grant or returns it.
    duration grantLifetime = std::chrono::seconds(1);
    /// Long requests of the least urgent tier in service wait while more than this share of them is preempted, 0 to 1; lower
    /// values waste less prefill, 1 admits them always.
    double preemptionRiskLimit = 0.5;
};

/// Counts for status pages, pool summaries and metrics.
struct pool_status {
    std::size_t waiting = 0;
    std::size_t running = 0;
    std::size_t slots = 0;
    /// Numerically highest tier among waiting and running work; 0 where there is none.
    tier lowestTierInService;
    duration waitEstimate {};
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

/// Schedules the requests of one pool: strict tiers, weighted fairness between teams, deadline order inside a team,
/// placement by learned cost and cached prefix. Not thread-safe; does no I/O and reads no clock.
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
    /// Replaces the list of endpoints; one that is missing from it gets no new work, its running requests stay counted.
    std::vector<scheduling_action> setEndpoints(monotonic_time now, std::span<const endpoint_description> endpoints);
    /// The endpoint receives no further grant until setEndpoints() lists it again after an absence.
    void markLeaving(const endpoint_id& endpoint);

    /// Queues a request and returns what follows from it. A request id that is already known is ignored, so that a home may
    /// repeat a submission.
    std::vector<scheduling_action> submit(monotonic_time now, scheduling_request request);
    /// Removes a waiting request; a granted one must be released instead.
    void cancel(monotonic_time now, const request_id& request);
    void recordProgress(monotonic_time now, const slot_progress& progress);
    std::vector<scheduling_action> release(monotonic_time now, const slot_release& release);
    /// Counts a grant of the previous owner as running.
    void restoreGrant(monotonic_time now, scheduling_request request, const endpoint_id& endpoint, tokens outputTokens);

    void observe(monotonic_time now, const load_report& report);
    void observe(std::span<const cache_event> events);

    /// Handles deadlines, expired grants of dead homes, stragglers and waiting work; call at least every 50 ms.
    std::vector<scheduling_action> tick(monotonic_time now);
    /// Frees what a dead node held: its waiting requests are dropped, its running ones keep their slots until the engine is
    /// expected to have finished them.
    std::vector<scheduling_action> handleHomeFailure(monotonic_time now, const node_id& home);

    pool_status status(monotonic_time now) const;
    std::vector<endpoint_status> endpoints() const;
    /// Text for `carawaylink explain`; nothing for a request that the pool does not remember.
    std::optional<std::string> explain(const request_id& request) const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace carawaylink
