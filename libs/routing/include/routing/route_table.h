#pragma once

#include "routing/fleet_configuration.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>

namespace carawaylink::routing {

/// Lookup structure of one configuration version; immutable.
class route_table {
public:
    explicit route_table(fleet_configuration routes);

    const fleet_configuration& definition() const { return m_definition; }
    /// Route with the longest prefix of the path among those of the host; null where none matches. The host may carry a port and the
    /// target a query.
    const route* find(std::string_view host, std::string_view target) const;
    /// Team that holds the key; null where none does.
    const team_definition* teamOf(std::string_view key) const;
    const service_definition* service(const service_id& name) const;
    bool needsKey(const route& route) const { return !m_definition.teams.empty() && !route.isPublic; }

private:
    fleet_configuration m_definition;
    std::unordered_map<std::string, std::map<std::string, const route*, std::less<>>> m_byHost;
    std::unordered_map<std::string, const team_definition*> m_byKey;
    std::unordered_map<std::string, const service_definition*> m_byService;
};

/// Destination of a request of the route; draw is a uniform random number.
const service_id& chooseService(const route& route, std::uint64_t draw);

} // namespace carawaylink::routing
