#pragma once

#include "base/ids.h"
#include "membership/failure_detector.h"
#include "settings/generated/settings_generated.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace carawaylink {

/// Configuration of a team with exceptions applied.
struct team_policy {
    team_id team;
    double weight = 1;
    tier mostUrgentTier;
    tier defaultTier;
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;
    std::size_t maxWaiting = 0;
    std::uint32_t defaultOutputTokens = 0;
};

/// Definition of a service and its effective fleet defaults with exceptions applied.
struct service_policy {
    schema::service_definitionT definition;
    schema::fleet_defaultsT defaults;
};

/// State read while requests are handled. Immutable; replaced as a whole when configuration, members or endpoints change.
struct fleet_view {
    config_version version;
    std::unordered_map<std::string, team_policy> teamsByKeyHash;
    std::map<service_id, service_policy> services;
    std::unordered_map<std::string, service_id> serviceByModel;
    std::map<std::uint8_t, duration> tierDeadlines;
    /// All live members, including this node.
    std::vector<member_update> members;
    std::set<endpoint_id> leavingEndpoints;
    bool draining = false;
    /// New requests are refused. Set after draining, once callers' entry answers with this address have expired.
    bool closed = false;

    bool ready() const { return version.value > 0 && !draining; }
};

/// Builds the lookup tables and applies the exceptions that have not expired at the time now.
fleet_view buildFleetView(const schema::fleet_configurationT& configuration, config_version version, std::chrono::sys_seconds now);

} // namespace carawaylink
