#pragma once

#include "decision_log.h"
#include "discovery/endpoint_table.h"
#include "fleet_members.h"
#include "gateway/protocol_codec.h"
#include "probe_requests.h"
#include "quarantine/crash_correlator.h"
#include "quarantine/probe_arbiter.h"
#include "quarantine/recent_answers.h"
#include "wire/generated/peer_state_generated.h"

#include <deque>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace carawaylink::gateway {

/// Keeps the requests with prompt parts that crash endpoints away from them, fleet-wide. For each service two nodes correlate the crashes
/// that all nodes report, each by itself; they ask the nodes about answers and tell them which parts are quarantined. The nodes pass the
/// quarantine on to nodes that start; the store keeps it for a fleet that starts as a whole. After its term, the node in charge of the part
/// grants probes, one at a time: an answer ends the quarantine, a crash prolongs it. Does no I/O.
class prompt_quarantine {
public:
    using sender = std::function<void(const node_id& node, peer::envelopeT message)>;
    using parts = std::vector<quarantine::part_hash>;
    /// Writes a record of the quarantine; an empty value deletes the key.
    using store_writer = std::function<void(const std::string& key, const std::string& value)>;

    prompt_quarantine(node_id self, decision_log& log, sender send);

    static parts partsOf(const service_id& service, std::span<const std::string> sharedParts);
    /// The same for each request of the caller with this method, target and body. Digests the body, of which it tells nothing.
    static quarantine::part_hash identityOf(const service_id& service, const http_request& request, const std::string& caller);

    /// Names a part in log lines.
    static std::string logName(quarantine::part_hash part);

    /// Called when further parts are quarantined.
    void setOnQuarantined(std::function<void()> handler) { m_onQuarantined = std::move(handler); }
    void setStore(store_writer writer) { m_store = std::move(writer); }
    /// Quarantines the parts that the store holds, each for its whole time, since their age is unknown.
    void restore(const std::vector<store_record>& records, monotonic_time now);
    /// Writes the records that a store from an older copy lacks, of the parts that this node is in charge of. records: what it holds.
    void rewrite(const std::vector<store_record>& records, const fleet_members& members, monotonic_time now);
    /// Time for which requests with any of the parts are refused; nullopt if they are not.
    std::optional<duration> remaining(const parts& requested, monotonic_time now) const;
    /// Number of parts in force.
    std::size_t size(monotonic_time now) const { return m_list.sizeInForce(now); }
    std::size_t sizeOnProbation(monotonic_time now) const { return m_list.sizeOnProbation(now); }
    /// Those of the parts whose requests have to be probes.
    parts onProbation(const parts& requested, monotonic_time now) const;
    /// Time after which a request that was refused as a probe may be granted one.
    duration probeInterval() const;
    /// Called once for each request that asks for a probe, maybe before askForProbe() returns.
    void setOnProbeDecided(probe_requests::decision_handler handler) { m_probes.setOnDecided(std::move(handler)); }
    /// Asks whether the request may be sent although the parts are on probation; returns false if it must be refused now.
    bool askForProbe(std::uint64_t request, parts probed, monotonic_time now);
    /// The request has ended, which may have been a probe.
    void endProbe(std::uint64_t request) { m_probes.end(request); }
    /// An endpoint began to answer the request; returns whether it was a probe.
    bool recordProbeAnswer(std::uint64_t request, monotonic_time now);
    /// An endpoint began to answer a request with these parts, or has answered these requests.
    void recordAnswer(const parts& answered, monotonic_time now);
    /// An endpoint's process ended while it had not begun to answer requests with these parts, nor completed the answers to these requests.
    void recordCrash(const service_id& service, const discovery::replica_id& replica, const parts& unanswered, monotonic_time now,
        const parts& requests = {});

    /// Sends what is due; call every few tens of milliseconds.
    void tick(const fleet_members& members, monotonic_time now);
    /// Returns false if the message is not about quarantine.
    bool receive(const node_id& node, const peer::envelopeT& message, monotonic_time now);

private:
    struct reported_crash {
        quarantine::endpoint_crash crash;
        monotonic_time time;
        /// Nodes that the crash was reported to.
        std::vector<node_id> collectors;
    };
    /// The nodes that want to know when a part is answered.
    struct watch {
        std::vector<node_id> collectors;
        quarantine::service_hash service;
        monotonic_time until;
    };

    /// The node in charge of the service's hash, and the next one by address.
    std::vector<node_id> collectorsOf(quarantine::service_hash service, const fleet_members& members) const;
    /// Reports new crashes; after a change of the members also recent ones, to nodes that now correlate them.
    void sendCrashes(const fleet_members& members, bool haveMembersChanged, monotonic_time now);
    void sendWatches(monotonic_time now);
    void announceDecisions(monotonic_time now);
    void beginProbations(monotonic_time now);
    void forgetUnused(const fleet_members& members, monotonic_time now);
    bool isInCharge(quarantine::part_hash part) const { return m_members && m_members->nodeFor(part.value) == m_self; }
    /// Drops what was granted for parts that this node is not in charge of, or that are not on probation.
    void forgetProbesOfOthers(monotonic_time now);
    /// An endpoint answered a probe.
    void release(quarantine::part_hash part, unsigned times, monotonic_time now);
    void learnProbation(const quarantine::quarantine_entry& entry, monotonic_time now);
    peer::probe_step replyTo(const node_id& prober, const peer::part_probeT& question, monotonic_time now);
    void sendProbeStep(const node_id& node, quarantine::part_hash part, peer::probe_step step);
    void receive(const node_id& node, const peer::part_probeT& message, monotonic_time now);
    void passOn(monotonic_time now);
    /// The node that follows by this many steps in the order of addresses, which is closed to a ring.
    const node_id& nodeAfter(const node_id& node, std::size_t steps) const;
    void receive(const peer::crash_reportT& report, monotonic_time now);
    void receive(const node_id& node, const peer::part_watchT& request, monotonic_time now);
    void receive(const peer::part_answersT& report, monotonic_time now);
    void receive(const peer::quarantine_updateT& update, monotonic_time now);
    template <typename Message> void send(const node_id& node, const Message& message);

    node_id m_self;
    decision_log& m_log;
    sender m_send;
    std::function<void()> m_onQuarantined = [] {};
    store_writer m_store = [](const std::string&, const std::string&) {};
    quarantine::crash_correlator m_correlator;
    quarantine::quarantine_list m_list;
    quarantine::recent_answers m_answers;
    std::deque<reported_crash> m_crashes;
    std::unordered_map<quarantine::part_hash, watch> m_watches;
    /// Reachable nodes in ascending order, and the version of the members that they stem from.
    std::vector<node_id> m_nodes;
    std::uint64_t m_membersVersion = 0;
    /// Those of the latest tick.
    const fleet_members* m_members = nullptr;
    quarantine::probe_arbiter m_arbiter;
    probe_requests m_probes;
    monotonic_time m_lastUpkeepAt {};
    monotonic_time m_lastTickAt {};
};

} // namespace carawaylink::gateway
