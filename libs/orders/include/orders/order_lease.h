#pragma once

#include "orders/record.h"

#include <map>
#include <optional>

namespace carawaylink {

struct order_lease_settings {
    duration ttl = std::chrono::seconds(4);
    /// Added to the TTL of other nodes' leases; covers the difference in rate of two monotonic clocks.
    duration clockMargin = std::chrono::milliseconds(400);
    /// Maximum time from the lease check before an order to the end of its effect, including pauses of the sender.
    duration maxOrderDuration = std::chrono::seconds(60);
    /// An append that was not read back is repeated at this interval.
    duration appendRetryInterval = std::chrono::seconds(1);
    /// The engines of the service accept orders with any fencing token.
    bool ignoresFencing = false;
};

/// Lease that permits one node to send orders to the engines of one service, as seen by this node. A lease is held once its
/// record has been read back from the stream, so responses to appends are not needed. Times are of this process' monotonic clock.
class order_lease {
public:
    order_lease(service_id service, order_holder self, order_lease_settings settings);

    void setIgnoresFencing(bool value) { m_settings.ignoresFencing = value; }

    /// Applies a lease or release record of this service; records must be applied in stream order.
    void apply(monotonic_time now, log_offset offset, const order_record& record);
    /// Handles the loss of records that were truncated from the stream before they were read.
    void handleTruncation(monotonic_time now);
    /// Handles a read, started at readStarted, that reached the end of the stream.
    void handleEndOfStream(monotonic_time readStarted) { m_lastEndOfStreamRead = readStarted; }

    /// Returns the record to append now, if any. ordersDue: this node has orders to send. hasActiveOrders: an order may still take
    /// effect.
    std::optional<order_record> nextRecord(monotonic_time now, bool ordersDue, bool hasActiveOrders);

    /// Returns the fencing token if an order may be sent now.
    std::optional<log_offset> fencingToken(monotonic_time now) const;
    /// Engine states read before this time must not be used to choose orders.
    monotonic_time minObservationTime() const { return std::max(m_heldSince, minSendTime()); }
    /// Whether this node's lease is the newest and has not expired.
    bool isHeld(monotonic_time now) const { return m_ownLease && now < m_ownLease->deadline; }
    std::optional<order_holder> holder() const;

private:
    struct observed_lease {
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

    bool canAcquire(monotonic_time now) const;
    monotonic_time minSendTime() const;
    order_record makeRecord(order_record_kind kind);

    service_id m_service;
    order_holder m_self;
    order_lease_settings m_settings;
    std::optional<observed_lease> m_newestLease;
    std::optional<own_lease> m_ownLease;
    monotonic_time m_heldSince {};
    /// Until then a new holder waits for orders of the previous one if engines ignore fencing.
    monotonic_time m_takeoverWaitUntil {};
    /// Latest expiry of the leases of other holders.
    std::map<order_holder, monotonic_time> m_otherLeaseExpiry;
    monotonic_time m_truncationWaitUntil {};
    std::optional<monotonic_time> m_lastEndOfStreamRead;
    /// Appended leases by id, with the time before the append was sent.
    std::map<std::string, monotonic_time> m_pendingLeases;
    monotonic_time m_nextAppend {};
    std::uint64_t m_sequence = 0;
};

} // namespace carawaylink
