#pragma once

#include "base/ids.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace carawaylink::rollout {

/// Hash of a route's name.
using route_hash = std::uint64_t;

/// Natural logarithms of times in milliseconds. Keeps the spread between endpoints apart from that within one, because the endpoints of one
/// version differ in speed.
struct latency_summary {
    std::uint32_t endpoints = 0;
    std::uint32_t samples = 0;
    /// Sums over the means of the endpoints and their squares.
    double meanSum = 0;
    double meanSquares = 0;
    /// Sum of the squared distances of the samples to the mean of their endpoint.
    double deviationSquares = 0;

    void add(const latency_summary& other);
};

struct route_counts {
    std::uint32_t sent = 0;
    std::uint32_t ended = 0;
    /// Of the ended ones, those that failed.
    std::uint32_t bad = 0;
    /// Time to the first event, and between further ones.
    latency_summary firstEvent;
    latency_summary interval;

    void add(const route_counts& other);
};

/// What happened to the requests of a service, by route, at the endpoints of the target (true) and at the others.
struct evidence {
    std::map<std::pair<route_hash, bool>, route_counts> counts;

    void add(const evidence& other);
    /// Counts of all routes.
    route_counts total(bool ofTarget) const;
    route_counts of(route_hash route, bool ofTarget) const;
};

enum class request_end {
    good,
    bad,
    /// The connection broke, or nothing arrived. Requests that one endpoint loses together count once.
    lost,
    /// Says nothing of the endpoint.
    neutral,
};

/// Collects evidence on one pool. Requests at the other versions count only while the target gets requests as well, so that both are
/// compared under the same load. Ids are unique while their requests run.
class evidence_collector {
public:
    /// isCold: the endpoint has just started, so that the times of the request do not count.
    void sent(std::uint64_t id, route_hash route, const std::string& endpoint, bool isTarget, monotonic_time now, bool isCold = false);
    void firstEvent(std::uint64_t id, duration time);
    void interval(std::uint64_t id, duration mean);
    void ended(std::uint64_t id, request_end end, monotonic_time now);

    /// Since the start, and of the last half second to second. Requests that wait unusually long for their first event count with the time
    /// that they have waited.
    evidence total(monotonic_time now) const { return summarize(m_total, now); }
    evidence recent(monotonic_time now) const;
    /// Counts the requests that are sent from now on separately.
    void startFresh();
    evidence fresh(monotonic_time now) const;
    std::uint64_t requests() const { return m_requests; }
    std::uint64_t targetRequests() const { return m_targetRequests; }

private:
    struct samples {
        std::uint32_t count = 0;
        double sum = 0;
        double squares = 0;

        void add(duration time);
        void add(const samples& other);
        void addTo(latency_summary& summary) const;
    };
    struct cell {
        std::uint32_t sent = 0;
        std::uint32_t ended = 0;
        std::uint32_t bad = 0;
        samples firstEvent;
        samples interval;

        void add(const cell& other);
    };
    using cell_key = std::tuple<route_hash, bool, std::string>;
    using cells = std::map<cell_key, cell>;
    struct open_request {
        cell_key key;
        monotonic_time sentAt;
        bool isCompared = false;
        bool isFresh = false;
        bool isCold = false;
        bool hasFirstEvent = false;
    };

    template <typename Change> void change(const open_request& request, Change apply);
    evidence summarize(cells given, monotonic_time now, bool isFreshOnly = false) const;
    /// Whether the time exceeds what is usual on the route, so that it counts before the first event has come.
    bool isUnusual(route_hash route, duration time) const;
    void startSlice(monotonic_time now);

    cells m_total;
    /// Of the present half second and the one before.
    std::array<cells, 2> m_slices;
    monotonic_time m_sliceStartedAt {};
    /// Of the requests since startFresh().
    cells m_fresh;
    bool m_hasFresh = false;
    std::unordered_map<std::uint64_t, open_request> m_open;
    /// Times to the first event at endpoints of other versions than the target, by route.
    std::map<route_hash, samples> m_usual;
    std::map<std::string, monotonic_time> m_lostAt;
    monotonic_time m_targetSentAt {};
    std::uint64_t m_requests = 0;
    std::uint64_t m_targetRequests = 0;
};

} // namespace carawaylink::rollout
