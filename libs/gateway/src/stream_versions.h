#pragma once

#include "decision_log.h"
#include "fleet_members.h"
#include "metrics.h"
#include "streams/base_versions.h"
#include "streams/start_recorder.h"
#include "streams/start_table.h"
#include "wire/generated/peer_state_generated.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace carawaylink::gateway {

/// How the version is known that began a stream.
enum class version_source {
    /// This node sent the request by which it began.
    own,
    /// The store has a record of it.
    record,
    /// The store has none, so that it began at the base version.
    base,
    /// The store does not answer, or has no base version.
    unknown,
};

inline constexpr auto versionSourceNames = enumTable<version_source>({
    { version_source::own, "own" },
    { version_source::record, "record" },
    { version_source::base, "base" },
    { version_source::unknown, "unknown" },
});

/// The software that a stream must go on at.
struct stream_binding {
    /// Not set if the source is unknown.
    std::optional<streams::software_version> software;
    version_source source = version_source::unknown;
    /// Time since this node knows it; of a base version, since it was asked for.
    duration age {};
};

/// What a read of the store's log of starts brought.
struct start_records {
    std::vector<std::string> records;
    /// The log was read to its end.
    bool isComplete = false;
};

/// Knows at which software version each stream began, so that it goes on there, whichever node its caller comes back to. Streams that
/// begin at the base version of their service need no record; all others are recorded in the store before their first event goes out.
/// Nodes hand the starts to one of a few of them, which writes them for all. Does no I/O.
class stream_versions {
public:
    using sender = std::function<void(const node_id& node, peer::envelopeT message)>;
    /// Calls to the store. Each reports once.
    struct store_access {
        std::function<void(std::string record, std::function<void(bool)> onDone)> append;
        /// Reads the records since the last read.
        std::function<void(std::function<void(const start_records&)> onDone)> read;
        /// Also reports if another node wrote first.
        std::function<void(const streams::software_version& base, std::function<void()> onDone)> writeBase;
        std::function<void()> readBases;
    };
    using binding_handler = std::function<void(const stream_binding&)>;

    stream_versions(node_id self, decision_log& log, gateway_metrics& metrics, sender send);

    static streams::stream_id idOf(const std::string& attempt);

    /// Without a store, no stream is recorded and none can be bound.
    void setStore(store_access store) { m_store = std::move(store); }
    void setServices(std::set<service_id> services) { m_bases.setServices(std::move(services)); }
    void setEndpoints(const streams::base_versions::endpoints_by_service& endpoints, monotonic_time now);
    void setBases(const streams::base_versions::bases& bases, monotonic_time asOf);
    /// The store came back from an older copy, which may lack starts that it had confirmed.
    void onHistoryChanged(monotonic_time now);

    /// A request is sent by which a stream may begin. Returns whether its events may go out at once; otherwise calls onRecorded when they
    /// may.
    bool begin(const streams::stream_start& start, std::function<void()> onRecorded, monotonic_time now);
    /// Finds the version that began the stream; may call the handler before it returns. A stream that its caller does not name has the id
    /// 0.
    void find(streams::stream_id stream, const service_id& service, binding_handler onFound, monotonic_time now);

    /// Whether starts wait for the store for too long.
    bool isDelayed() const { return m_isDelayed; }
    /// Base version of the service; nullopt if it is unknown or no endpoint of it accepts requests.
    std::optional<std::string> servedBase(const service_id& service) const;
    /// Number of listed endpoints of the version that accept requests.
    std::size_t endpointsOf(const streams::software_version& software) const { return m_bases.endpointsOf(software); }

    /// Sends and writes what is due; call every 25 ms.
    void tick(const fleet_members& members, monotonic_time now);
    /// Returns false if the message is not about streams.
    bool receive(const node_id& node, const peer::envelopeT& message, monotonic_time now);

private:
    /// A start of this node that the store has not confirmed.
    struct pending_start {
        streams::stream_start start;
        std::function<void()> onRecorded;
        monotonic_time since;
        /// Handed to the recorder of this node.
        bool isOwnRecord = false;
    };
    struct lookup {
        streams::stream_id stream;
        service_id service;
        binding_handler onFound;
        monotonic_time since;
    };

    void hand(const fleet_members& members, monotonic_time now);
    void write(monotonic_time now);
    void onWritten(const streams::start_recorder::batch& batch);
    void onRecorded(const std::vector<peer::stream_send>& sends);
    void updateBases(const fleet_members& members, monotonic_time now);
    void read(monotonic_time now);
    void onRead(const start_records& result, monotonic_time startedAt);
    /// Answers the lookups that the last read, which began then, or the time limit decides.
    void answerLookups(monotonic_time readSince, monotonic_time now);
    /// nullopt while more must be read first.
    std::optional<stream_binding> decide(const lookup& asked, monotonic_time readSince, monotonic_time now) const;
    /// The node that records the starts of this one.
    node_id recorderFor(const fleet_members& members, monotonic_time now) const;

    node_id m_self;
    decision_log& m_log;
    gateway_metrics& m_metrics;
    sender m_send;
    std::optional<store_access> m_store;
    /// Of requests that this node sent.
    streams::start_table m_own;
    /// As of the last read of the store.
    streams::start_table m_recorded;
    streams::base_versions m_bases;
    streams::start_recorder m_recorder;
    std::unordered_map<std::uint64_t, pending_start> m_pending;
    std::vector<streams::stream_start> m_unsent;
    std::vector<lookup> m_lookups;
    bool m_isReading = false;
    monotonic_time m_nextReadAt {};
    bool m_isDelayed = false;
    /// Until then this node records its starts itself, since another node did not confirm them.
    monotonic_time m_recordsItselfUntil {};
    monotonic_time m_basesReadAt {};
    monotonic_time m_basesWrittenAt {};
    std::shared_ptr<stream_versions*> m_alive;
};

} // namespace carawaylink::gateway
