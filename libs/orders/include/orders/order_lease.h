#pragma once

#include "orders/record.h"

#include <map>
#include <optional>

namespace carawaylink {

struct order_lease_settings {
    duration ttl = std::chrono::seconds(4);
    /// Added to the length of other nodes' leases; covers the difference in speed of two monotonic clocks.
    duration clockMargin = std::chrono::milliseconds(400);
    /// Longest time from the check before an order to the end of its effect, pauses of the sender included.
    duration maxOrderDuration = std::chrono::seconds(60);
    /// Pause before an append that was not read back is repeated.
    duration appendRetryInterval = std::chrono::seconds(1);
    /// The engines of the service take orders with any token.
    bool ignoresFencing = false;
};

/// The right to give orders to the engines of one service, as one node sees it. A lease is held once its record has been read
/// back from the stream, so answers to appends are not needed. Times are of this process' monotonic clock.
class order_lease {
public:
    order_lease(service_id service, order_holder self, order_lease_settings settings);

    void setIgnoresFencing(bool value) { m_settings.ignoresFencing = value; }

    /// A lease or release record of this service, in stream order.
    void apply(monotonic_time now, log_offset offset, const order_record& record);
    /// Records of the stream were lost unread.
    void handleTruncation(monotonic_time now);
    /// A read that was started then has reached the end of the stream.
    void handleEndOfStream(monotonic_time readStarted) { m_endSeen = readStarted; }

    /// The record to append now. wanted: this node has orders to give; busy: some order may still take effect.
    std::optional<order_record> nextRecord(monotonic_time now, bool wanted, bool hasActiveOrders);

    /// The fencing token where an order may be sent now.
    std::optional<log_offset> fencingToken(monotonic_time now) const;
    /// Engine states read before this time must not be used for a decision.
    monotonic_time minObservationTime() const { return std::max(m_heldSince, waitEnd()); }
    /// True while this node's lease is the newest and has not run out.
    bool isHeld(monotonic_time now) const { return m_own && now < m_own->deadline; }
    std::optional<order_holder> holder() const;

private:
    struct known_lease {
        log_offset offset;
        order_record record;
        monotonic_time readAt;
        bool released = false;
    };
    struct own_lease {
        log_offset offset;
        std::string id;
        monotonic_time deadline;
    };

    bool mayTake(monotonic_time now) const;
    monotonic_time waitEnd() const;
    order_record makeRecord(order_record_kind kind);

    service_id m_service;
    order_holder m_self;
    order_lease_settings m_settings;
    std::optional<known_lease> m_newest;
    std::optional<own_lease> m_own;
    monotonic_time m_heldSince {};
    /// End of the wait of a new holder for engines that ignore fencing.
    monotonic_time m_quietUntil {};
    /// When the leases of other holders have run out at the latest.
    std::map<order_holder, monotonic_time> m_othersUntil;
    monotonic_time m_unknownUntil {};
    std::optional<monotonic_time> m_endSeen;
    /// Appended leases by id and the time before they were sent.
    std::map<std::string, monotonic_time> m_sent;
    monotonic_time m_nextAppend {};
    std::uint64_t m_sequence = 0;
};

} // namespace carawaylink
