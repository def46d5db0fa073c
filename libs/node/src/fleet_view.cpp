#include "fleet_view.h"

#include "config/exceptions.h"

namespace carawaylink {

fleet_view buildFleetView(const schema::fleet_configurationT& configuration, config_version version, std::chrono::sys_seconds now)
{
    fleet_view view;
    view.version = version;
    for (const auto& definition : configuration.tiers)
        view.tierDeadlines[definition->level] = std::chrono::milliseconds(definition->deadline_ms);
    for (const auto& definition : configuration.teams) {
        const auto defaults = resolveDefaults(configuration, schema::exception_scope::team, definition->name, now);
        team_policy policy;
        policy.team = team_id(definition->name);
        policy.weight = definition->weight;
        policy.mostUrgentTier = tier(definition->highest_tier);
        policy.defaultTier = tier(definition->default_tier);
        policy.requestsPerSecond = defaults.team_requests_per_s;
        policy.tokensPerSecond = defaults.team_tokens_per_s;
        policy.maxWaiting = defaults.max_waiting_per_team;
        policy.defaultOutputTokens = defaults.default_output_tokens;
        for (const auto& hash : definition->key_sha256)
            view.teamsByKeyHash.emplace(hash, policy);
    }
    for (const auto& definition : configuration.services) {
        service_policy policy { *definition, resolveDefaults(configuration, schema::exception_scope::service, definition->name, now) };
        const service_id service(definition->name);
        view.serviceByModel.emplace(definition->name, service);
        for (const auto& model : definition->models)
            view.serviceByModel.emplace(model, service);
        view.services.emplace(service, std::move(policy));
    }
    return view;
}

} // namespace carawaylink
