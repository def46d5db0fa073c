#include "routing/route_table.h"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace carawaylink::routing {

namespace {

std::string normalizedHost(std::string_view host)
{
    std::string result(host.substr(0, host.find(':')));
    std::ranges::transform(result, result.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return result;
}

} // namespace

route_table::route_table(fleet_configuration configuration)
    : m_configuration(std::move(configuration))
{
    for (const auto& entry : m_configuration.routes)
        m_routesByHost[normalizedHost(entry.host)].insert_or_assign(entry.pathPrefix, &entry);
    for (const auto& entry : m_configuration.teams) {
        for (const auto& key : entry.keys)
            m_teamsByKey.insert_or_assign(key, &entry);
    }
    for (const auto& entry : m_configuration.services)
        m_servicesByName.insert_or_assign(entry.name.value, &entry);
}

const route* route_table::find(std::string_view host, std::string_view target) const
{
    const auto routes = m_routesByHost.find(normalizedHost(host));
    if (routes == m_routesByHost.end())
        return nullptr;
    const auto path = target.substr(0, target.find('?'));
    // Prefixes end with a slash, so every candidate is the path up to one of its slashes; the longest is tried first.
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        const auto found = routes->second.find(path.substr(0, slash + 1));
        if (found != routes->second.end())
            return found->second;
    }
    return nullptr;
}

const team_definition* route_table::teamOf(std::string_view key) const
{
    const auto found = m_teamsByKey.find(std::string(key));
    return found == m_teamsByKey.end() ? nullptr : found->second;
}

const service_definition* route_table::service(const service_id& name) const
{
    const auto found = m_servicesByName.find(name.value);
    return found == m_servicesByName.end() ? nullptr : found->second;
}

const service_id& chooseService(const route& route, std::uint64_t randomValue)
{
    const auto total = std::accumulate(route.services.begin(), route.services.end(), std::uint64_t { 0 },
        [](std::uint64_t sum, const weighted_service& entry) { return sum + entry.weight; });
    auto remainder = total == 0 ? 0 : randomValue % total;
    for (const auto& entry : route.services) {
        if (remainder < entry.weight)
            return entry.service;
        remainder -= entry.weight;
    }
    return route.services.front().service;
}

bool usesService(const route& route, const service_id& service)
{
    return std::ranges::find(route.services, service, &weighted_service::service) != route.services.end();
}

std::set<service_id> resumableServices(const fleet_configuration& configuration)
{
    std::set<service_id> result;
    for (const auto& route : configuration.routes) {
        if (!route.mayGoOnElsewhere())
            continue;
        for (const auto& destination : route.services)
            result.insert(destination.service);
    }
    return result;
}

} // namespace carawaylink::routing
