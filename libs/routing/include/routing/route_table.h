#pragma once

#include "routing/fleet_configuration.h"

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <unordered_map>

namespace carawaylink::routing {

/// Immutable lookup tables of one configuration version.
class route_table {
public:
    explicit route_table(fleet_configuration configuration);

    const fleet_configuration& configuration() const { return m_configuration; }
    /// Returns the route of the host with the longest matching path prefix, or null if none matches. The host may include a port, and the
    /// target a query.
    const route* find(std::string_view host, std::string_view target) const;
    /// Returns the team that owns the API key, or null.
    const team_definition* teamOf(std::string_view key) const;
    const service_definition* service(const service_id& name) const;
    bool needsKey(const route& route) const { return !m_configuration.teams.empty() && !route.isPublic; }

private:
    fleet_configuration m_configuration;
    std::unordered_map<std::string, std::map<std::string, const route*, std::less<>>> m_routesByHost;
    std::unordered_map<std::string, const team_definition*> m_teamsByKey;
    std::unordered_map<std::string, const service_definition*> m_servicesByName;
};

/// Selects a destination of the route by weight. randomValue: uniformly distributed.
const service_id& chooseService(const route& route, std::uint64_t randomValue);

/// Whether the service is a destination of the route.
bool usesService(const route& route, const service_id& service);

/// Services with streams that may go on at another endpoint.
std::set<service_id> resumableServices(const fleet_configuration& configuration);

} // namespace carawaylink::routing
