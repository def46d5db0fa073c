#pragma once

#include "base/ids.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace carawaylink::placement {

/// Urgency of a request: tier of its team, which is compared first, and of its route. Less is more urgent.
struct urgency {
    carawaylink::tier team { 0 };
    carawaylink::tier route { 0 };
    auto operator<=>(const urgency&) const = default;
};

/// Minimum served share of the less urgent ranks of a queue. Counts, over a sliding window, how many requests of each rank arrived and
/// started, and tells which rank gets a start out of order. Reads no clock; times must not decrease.
class tier_floor {
public:
    /// Served share that a rank gets, as a fraction of the served share of all requests; 0 switches the floor off.
    static constexpr double minShareFraction = 0.6;
    /// Fractions of the slot time and of the starts in the window that starts by the floor may take.
    static constexpr double maxSlotTimeFraction = 0.1;
    static constexpr double maxStartFraction = 0.25;

    void recordArrival(const urgency& rank, monotonic_time now);
    /// A request that was counted at countedAt left without a decision.
    void recordWithdrawal(const urgency& rank, monotonic_time countedAt);
    /// slotTime: expected time for which the request holds its slot. isCounted: false for a request whose arrival was not counted.
    void recordStart(const urgency& rank, duration slotTime, bool isByFloor, bool isCounted, monotonic_time now);
    /// hasQueue: requests wait that cannot start now.
    void recordQueue(bool hasQueue, monotonic_time now);

    /// Whether the rank was served less than its minimum under an overload that has lasted.
    bool isBelow(const urgency& rank, monotonic_time now) const;
    /// Whether the next start may be given to the rank out of order.
    bool mayStart(const urgency& rank, monotonic_time now) const;
    /// Starts per second that the floor grants a rank; 0 if the rank is not below it.
    double startRate(const urgency& rank, monotonic_time now) const;

private:
    struct counts {
        std::int64_t arrived = 0;
        std::int64_t started = 0;
        /// Starts of all kinds, also of requests whose arrival was not counted.
        std::int64_t starts = 0;
        std::int64_t floorStarts = 0;
        duration slotTime {};
        duration floorSlotTime {};
        void add(const counts& other, int sign);
        double share() const { return arrived == 0 ? 0 : static_cast<double>(started) / static_cast<double>(arrived); }
    };
    using counts_by_rank = std::map<urgency, counts>;
    struct interval {
        std::int64_t number = 0;
        counts_by_rank ranks;
    };

    void add(const urgency& rank, const counts& change, monotonic_time now);
    void expire(std::int64_t current);
    /// Counts of the next more urgent rank with arrivals; nullptr if there is none.
    const counts* moreUrgent(const urgency& rank) const;
    duration meanSlotTime(const counts& rank) const;

    std::deque<interval> m_intervals;
    counts_by_rank m_ranks;
    counts m_total;
    std::optional<monotonic_time> m_overloadedSince;
    monotonic_time m_lastQueueAt {};
};

} // namespace carawaylink::placement
