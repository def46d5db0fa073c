#pragma once

#include "discovery/endpoint_table.h"
#include "streams/stream_start.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace carawaylink::streams {

/// The base version of each service, which all nodes have from the store: streams that begin there need no record of their start, and a
/// stream without a record has begun there. The base moves once its last endpoint has been gone for as long as callers may return. Does
/// no I/O and reads no clock.
class base_versions {
public:
    using bases = std::map<service_id, std::string>;
    using endpoints_by_service = std::map<service_id, std::vector<discovery::endpoint_record>>;

    /// Sets the services that need a base: those whose streams may go on at another endpoint.
    void setServices(std::set<service_id> services) { m_services = std::move(services); }
    /// Takes over what the store holds. asOf: start of the read. Bases that it lacks are kept, to be written again.
    void setBases(const bases& read, monotonic_time asOf);
    void setEndpoints(const endpoints_by_service& endpoints, monotonic_time now);

    std::optional<std::string> baseOf(const service_id& service) const;
    /// Whether a stream may begin there without a record. Not until the base was read after its first endpoint was listed, since the base
    /// may have moved while it had none.
    bool isUnrecorded(const software_version& software) const;
    /// Number of listed endpoints of the version that accept requests.
    std::size_t endpointsOf(const software_version& software) const;
    /// Whether no other version of the service is listed.
    bool isOnlyVersion(const software_version& software) const;
    /// Whether the bases should be read now. age: time since the last read began.
    bool needsRead(duration age) const;
    /// Bases that should be written now.
    std::vector<software_version> due(monotonic_time now) const;

private:
    struct listed_version {
        /// Endpoints that accept requests.
        std::size_t accepting = 0;
        /// Since when it is listed without a gap.
        monotonic_time since;
    };
    struct service_state {
        std::optional<std::string> base;
        /// The store held it when it was read last.
        bool isStored = false;
        std::map<std::string, listed_version> listed;
        std::optional<monotonic_time> baseMissingSince;
    };

    const service_state* find(const service_id& service) const;
    static void updateMissing(service_state& state, monotonic_time now);
    /// The version with most endpoints that accept requests; nullopt without one.
    static std::optional<std::string> mostListed(const service_state& state);

    std::set<service_id> m_services;
    std::map<service_id, service_state> m_states;
    std::optional<monotonic_time> m_asOf;
};

} // namespace carawaylink::streams
