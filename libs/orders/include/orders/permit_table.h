#pragma once

#include "orders/record.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace carawaylink {

struct permit_settings {
    /// Longest time from the check before a load to its end, pauses of the sender included.
    duration maxLoadDuration = std::chrono::seconds(60);
    /// Length of a claim; a load is started only while inFlight of it is left.
    duration ttl = std::chrono::seconds(80);
    /// Added to the length of other nodes' claims; covers the difference in speed of two monotonic clocks.
    duration clockMargin = std::chrono::seconds(8);
    /// Pause before an append that was not read back is repeated.
    duration appendRetryInterval = std::chrono::seconds(1);
};

/// Permits for loads from the weight store, as one node sees them. Claims queue in the order of the log; the oldest claims that
/// have neither ended nor run out hold the permits. A service has at most one claim that waits, so the
/// service that has waited longest is next. Times are of this process' monotonic clock.
class permit_table {
public:
    permit_table(order_holder self, permit_settings settings);

    /// A permit record of any service, in stream order.
    void apply(monotonic_time now, log_offset offset, const order_record& record);
    /// Records of the stream were lost unread.
    void handleTruncation(monotonic_time now);
    /// A read that was started then has reached the end of the stream.
    void handleEndOfStream(monotonic_time readStarted) { m_endSeen = readStarted; }

    /// Whether the service has loads to start; a waiting claim ends where it has none.
    void setWanted(const service_id& service, bool wanted);
    /// The records to append now.
    std::vector<order_record> nextRecords(monotonic_time now);

    /// Takes a permit for one load that starts now and returns the id of its claim; limit is the number of permits.
    std::optional<std::string> tryAcquire(monotonic_time now, const service_id& service, std::size_t limit);
    /// The load has ended for certain.
    void release(const std::string& claim);
    /// True where this node has no claim whose end is still to be recorded.
    bool isIdle() const { return m_own.empty(); }
    /// Loads of this node that have not finished.
    std::size_t runningLoads() const;

private:
    struct seen_claim {
        log_offset since;
        order_holder holder;
        /// When its holder regards it as over at the latest.
        monotonic_time until;
    };
    enum class claim_state { queued, running, ended };
    struct own_claim {
        service_id service;
        claim_state state = claim_state::queued;
        /// Set once the claim was read back.
        std::optional<log_offset> since;
        monotonic_time deadline;
        monotonic_time nextAppend;
    };
    struct sent_append {
        std::string claim;
        monotonic_time sentAt;
    };

    void applyOwn(monotonic_time now, log_offset offset, const order_record& record);
    bool over(monotonic_time now, const seen_claim& claim) const;
    std::size_t olderClaims(monotonic_time now, log_offset since) const;
    /// A claim that waits is extended when this much of the time in which it may start a load is left.
    duration renewalTime() const { return (m_settings.ttl - m_settings.maxLoadDuration) / 2; }
    order_record makeClaim(monotonic_time now, const std::string& id, const service_id& service);
    order_record makeRecord(order_record_kind kind, const service_id& service);

    order_holder m_self;
    permit_settings m_settings;
    /// Claims of all nodes by id.
    std::map<std::string, seen_claim> m_claims;
    std::map<std::string, own_claim> m_own;
    /// Claims that ended, with the time until which late records of them may come.
    std::map<std::string, monotonic_time> m_ended;
    std::map<std::string, sent_append> m_sent;
    std::set<service_id> m_wanted;
    std::optional<monotonic_time> m_endSeen;
    monotonic_time m_unknownUntil {};
    std::uint64_t m_sequence = 0;
};

} // namespace carawaylink
