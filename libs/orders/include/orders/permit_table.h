#pragma once

#include "orders/record.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace carawaylink {

struct permit_settings {
    /// Maximum time from the permit check before a load to the end of the load, including pauses of the sender.
    duration maxLoadDuration = std::chrono::seconds(60);
    /// TTL of a claim; a load is started only while at least maxLoadDuration of it remains.
    duration ttl = std::chrono::seconds(80);
    /// Added to the TTL of other nodes' claims; covers the difference in rate of two monotonic clocks.
    duration clockMargin = std::chrono::seconds(8);
    /// An append that was not read back is repeated at this interval.
    duration appendRetryInterval = std::chrono::seconds(1);
};

/// Permits for loads from the weight store, as seen by this node. Claims queue in log order; the oldest claims that have neither
/// ended nor expired hold the permits. A service has at most one queued claim, so the service that has waited longest is next.
/// Times are of this process' monotonic clock.
class permit_table {
public:
    permit_table(order_holder self, permit_settings settings);

    /// Applies a permit record of any service; records must be applied in stream order.
    void apply(monotonic_time now, log_offset offset, const order_record& record);
    /// Handles the loss of records that were truncated from the stream before they were read.
    void handleTruncation(monotonic_time now);
    /// Handles a read, started at readStarted, that reached the end of the stream.
    void handleEndOfStream(monotonic_time readStarted) { m_lastEndOfStreamRead = readStarted; }

    /// Sets whether the service has loads to start. If it has none, its queued claim ends.
    void setHasLoads(const service_id& service, bool hasLoads);
    /// Returns the records to append now.
    std::vector<order_record> nextRecords(monotonic_time now);

    /// Acquires a permit for one load that starts now and returns the id of its claim. limit: total number of permits.
    std::optional<std::string> tryAcquire(monotonic_time now, const service_id& service, std::size_t limit);
    /// Releases the permit of a load that has certainly ended.
    void release(const std::string& claim);
    /// Whether this node has no claim whose end remains to be recorded.
    bool isIdle() const { return m_ownClaims.empty(); }
    /// Loads of this node that have not finished.
    std::size_t runningLoads() const;

private:
    struct remote_claim {
        log_offset queueOffset;
        order_holder holder;
        /// Latest time at which the holder treats the claim as expired.
        monotonic_time expiresAt;
    };
    enum class claim_state { queued, running, ended };
    struct own_claim {
        service_id service;
        claim_state state = claim_state::queued;
        /// Offset of the claim; set once it was read back.
        std::optional<log_offset> queueOffset;
        monotonic_time deadline;
        monotonic_time nextAppend;
    };
    struct pending_append {
        std::string claim;
        monotonic_time sentAt;
    };

    void applyOwn(monotonic_time now, log_offset offset, const order_record& record);
    bool hasExpired(monotonic_time now, const remote_claim& claim) const;
    std::size_t countOlderClaims(monotonic_time now, log_offset queueOffset) const;
    /// A queued claim is renewed when this much of the time in which it may start a load remains.
    duration renewalLead() const { return (m_settings.ttl - m_settings.maxLoadDuration) / 2; }
    order_record makeClaim(monotonic_time now, const std::string& id, const service_id& service);
    order_record makeRecord(order_record_kind kind, const service_id& service);

    order_holder m_self;
    permit_settings m_settings;
    /// Claims of other nodes by id.
    std::map<std::string, remote_claim> m_remoteClaims;
    std::map<std::string, own_claim> m_ownClaims;
    /// Ended claims, with the time until which late records of them may arrive.
    std::map<std::string, monotonic_time> m_endedClaims;
    std::map<std::string, pending_append> m_pendingAppends;
    std::set<service_id> m_servicesWithLoads;
    std::optional<monotonic_time> m_lastEndOfStreamRead;
    monotonic_time m_truncationWaitUntil {};
    std::uint64_t m_sequence = 0;
};

} // namespace carawaylink
