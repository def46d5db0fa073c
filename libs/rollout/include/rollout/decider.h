#pragma once

#include "rollout/comparison.h"
#include "rollout/exposure.h"
#include "rollout/order.h"

#include <deque>
#include <optional>

namespace carawaylink::rollout {

/// What the deciding owner sees of the service.
struct fleet_view {
    /// Endpoints that accept requests: of the whole service, and of the pool in which the target is tested.
    std::size_t targetEndpoints = 0;
    std::size_t oldEndpoints = 0;
    std::size_t testedTargetEndpoints = 0;
    std::size_t testedOldEndpoints = 0;
    /// Since this owner began: requests sent to endpoints of the service, and of these to the target.
    std::uint64_t requests = 0;
    std::uint64_t targetRequests = 0;
    /// Requests that run on endpoints of the old versions.
    std::size_t runningOld = 0;
    /// All old versions of the service.
    std::vector<std::string> oldVersions;
    /// See status::excluded.
    std::vector<std::string> excluded;
    /// Since this owner began, and of the last half second to second.
    evidence total;
    evidence recent;
    /// Of the requests sent since the decider last asked for fresh evidence.
    evidence fresh;
};

/// How the target may be used now.
struct usage_plan {
    bool usesTarget = false;
    bool usesOld = true;
    /// Share of the grants that go to the target: in the tested pool while testing, in all pools later.
    double share = 0;
    /// Only in the tested pool; requests that may be sent to the target since this owner began.
    std::optional<std::uint64_t> maxTargetRequests;
    std::size_t canaries = 0;
};

/// Decides on one order, in the process that owns the service's pool 0. The target is used only under a record that the store has
/// confirmed. Does no I/O and reads no clock.
///
///     decider.step(view, now);
///     if (auto record = decider.recordToWrite(now)) write(*record);  // then confirm(*record, now)
///     apply(decider.plan(now));
class decider {
public:
    /// orderedAt: when the order was given, as far as known. written: the last record on this order; nullopt without one. self: name of
    /// this process in the records.
    decider(const order& given, const exposure_bound& bound, std::string self, monotonic_time orderedAt, std::optional<status> written,
        monotonic_time now);

    void step(const fleet_view& view, monotonic_time now);
    /// Record to be written next; nullopt if the last confirmed one suffices for now.
    std::optional<status> recordToWrite(monotonic_time now) const;
    /// The store has accepted the record.
    void confirm(const status& record, monotonic_time now);
    /// The operator has deleted or replaced the order.
    void withdraw(monotonic_time now);

    /// Number of times that fresh evidence was asked for: it must start anew when this grows.
    unsigned freshStarts() const { return m_freshStarts; }
    usage_plan plan(monotonic_time now) const;
    rollout::stage stage() const { return m_stage; }
    const std::string& reason() const { return m_reason; }
    /// The fault of the target, if one was found.
    const std::optional<fault>& foundFault() const { return m_fault; }
    status current(monotonic_time now) const;
    bool isConfirmedFinal() const { return m_confirmed && isFinal(m_confirmed->stage); }

private:
    void enter(rollout::stage next, std::string reason, monotonic_time now);
    /// What was counted before this owner began and since.
    evidence allEvidence() const;
    /// Returns a fault that justifies a revert; keeps a suspicion that does not do so yet.
    std::optional<fault> checkFault(const fleet_view& view, monotonic_time now);
    std::optional<fault> checkSlowness(const std::optional<fault>& found, const fleet_view& view, monotonic_time now);
    void stepOpen(const fleet_view& view, monotonic_time now);
    void stepTesting(monotonic_time now);
    void countRequests(monotonic_time now);
    /// Time at which the record of completion is written at the latest.
    monotonic_time lastCompletion() const;
    monotonic_time after(double fraction) const;
    double wideningShare(monotonic_time now) const;
    double equalShare() const;
    std::size_t canaryCount() const;
    std::uint64_t requests() const;
    std::uint64_t targetRequests() const;

    order m_order;
    exposure_bound m_bound;
    std::string m_self;
    monotonic_time m_orderedAt;
    monotonic_time m_beganAt;
    /// Last record of the owner before.
    status m_inherited;
    fleet_view m_view;
    rollout::stage m_stage = rollout::stage::waiting;
    std::string m_reason;
    /// Since when the target seems slow.
    struct suspicion {
        monotonic_time since;
        /// What was found last.
        fault found;
        bool hasFresh = false;
    };
    std::optional<fault> m_fault;
    std::optional<suspicion> m_suspicion;
    /// Fresh evidence has shown that the target is not slow, whatever it was before.
    bool m_isCleared = false;
    unsigned m_freshStarts = 0;
    monotonic_time m_stageSince;
    std::optional<monotonic_time> m_withoutOldSince;
    std::optional<status> m_confirmed;
    monotonic_time m_confirmedAt {};
    /// Numbers of requests in the last second.
    std::deque<std::pair<monotonic_time, std::uint64_t>> m_requestsAt;
};

} // namespace carawaylink::rollout
