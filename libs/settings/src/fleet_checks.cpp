#include "checks.h"
#include "scalar.h"

#include <algorithm>
#include <set>

namespace carawaylink::settings_detail {
namespace {

std::string at(const std::string& list, std::size_t index, const std::string& field)
{
    return list + "[" + std::to_string(index) + "]." + field;
}

template <typename List, typename Name>
void checkUnique(const List& list, const std::string& path, const std::string& field, Name nameOf, reading& result)
{
    std::map<std::string, std::size_t> seen;
    for (std::size_t i = 0; i < list.size(); ++i) {
        const std::string name = nameOf(*list[i]);
        if (name.empty() || result.isFaulty(at(path, i, field)))
            continue;
        const auto [first, isNew] = seen.emplace(name, i);
        if (!isNew)
            result.add(at(path, i, field),
                "\"" + name + "\" is also the " + field + " of " + path + "[" + std::to_string(first->second) + "]",
                "give every element its own " + field);
    }
}

void checkTiers(const schema::fleet_configurationT& configuration, reading& result)
{
    const auto& tiers = configuration.tiers;
    checkUnique(
        tiers, "tiers", "level", [](const auto& tier) { return std::to_string(tier.level); }, result);
    checkUnique(
        tiers, "tiers", "name", [](const auto& tier) { return tier.name; }, result);
    if (result.isFaulty("tiers"))
        return;
    for (std::size_t level = 0; level < tiers.size(); ++level) {
        if (std::ranges::none_of(tiers, [&](const auto& tier) { return tier->level == level; }))
            result.add("tiers",
                "level " + std::to_string(level) + " is missing; levels have to run from 0 to " + std::to_string(tiers.size() - 1),
                "number the tiers 0, 1, 2 and so on");
    }
}

void checkTeams(const schema::fleet_configurationT& configuration, reading& result)
{
    const auto& teams = configuration.teams;
    checkUnique(
        teams, "teams", "name", [](const auto& team) { return team.name; }, result);
    const bool tiersKnown = !result.isFaulty("tiers");
    std::map<std::string, std::string> keyOwners;
    for (std::size_t i = 0; i < teams.size(); ++i) {
        const auto& team = *teams[i];
        const auto hasTier = [&](std::uint8_t level) {
            return std::ranges::any_of(configuration.tiers, [&](const auto& tier) { return tier->level == level; });
        };
        const auto checkTier = [&](const std::string& field, std::uint8_t level) {
            if (tiersKnown && !result.isFaulty(at("teams", i, field)) && !hasTier(level))
                result.add(at("teams", i, field), "tier " + std::to_string(level) + " is not defined",
                    "use a level of 0 to " + std::to_string(configuration.tiers.size() - 1) + " or define the tier");
        };
        checkTier("highest_tier", team.highest_tier);
        checkTier("default_tier", team.default_tier);
        if (team.default_tier < team.highest_tier && !result.isFaulty(at("teams", i, "highest_tier"))
            && !result.isFaulty(at("teams", i, "default_tier")))
            result.add(at("teams", i, "default_tier"),
                "tier " + std::to_string(team.default_tier) + " is more urgent than the highest tier of the team, "
                    + std::to_string(team.highest_tier),
                "use a default tier of " + std::to_string(team.highest_tier) + " or more");
        for (std::size_t k = 0; k < team.key_sha256.size(); ++k) {
            std::string hash = team.key_sha256[k];
            const std::string field = at("teams", i, "key_sha256[" + std::to_string(k) + "]");
            if (!isSha256(hash)) {
                result.add(field, "\"" + hash.substr(0, 80) + "\" is not a SHA-256 hash",
                    "write 64 hexadecimal digits: printf %s KEY | sha256sum");
                continue;
            }
            std::ranges::transform(hash, hash.begin(), [](unsigned char digit) { return static_cast<char>(std::tolower(digit)); });
            const auto [owner, isNew] = keyOwners.emplace(hash, team.name);
            if (!isNew)
                result.add(field, "this key is also a key of team \"" + owner->second + "\"", "give every team its own key");
        }
    }
}

void checkServices(const schema::fleet_configurationT& configuration, reading& result)
{
    const auto& services = configuration.services;
    checkUnique(
        services, "services", "name", [](const auto& service) { return service.name; }, result);
    std::map<std::string, std::string> modelOwners;
    for (std::size_t i = 0; i < services.size(); ++i) {
        const auto& service = *services[i];
        if (result.isFaulty(at("services", i, "kind")))
            continue;
        if (service.kind == schema::service_kind::plain && !service.models.empty())
            result.add(at("services", i, "models"), "a plain service has no models", "remove the key or set kind: engine");
        if (service.kind == schema::service_kind::engine && service.models.empty() && !result.isFaulty(at("services", i, "models")))
            result.add(at("services", i, "models"), "an engine service without a model cannot be asked for",
                "add models: [NAME] or set kind: plain");
        for (const auto& model : service.models) {
            const auto [owner, isNew] = modelOwners.emplace(model, service.name);
            if (!isNew)
                result.add(at("services", i, "models"), "model \"" + model + "\" is already served by \"" + owner->second + "\"",
                    "name every model in one service only");
        }
    }
}

void checkTarget(const schema::fleet_configurationT& configuration, const schema::exception_definitionT& exception,
    const std::string& field, reading& result)
{
    std::vector<std::string> known;
    switch (exception.scope) {
    case schema::exception_scope::service:
        std::ranges::transform(configuration.services, std::back_inserter(known), [](const auto& service) { return service->name; });
        break;
    case schema::exception_scope::team:
        std::ranges::transform(configuration.teams, std::back_inserter(known), [](const auto& team) { return team->name; });
        break;
    case schema::exception_scope::endpoint:
        // Endpoints come and go with the list of vms, so only their form is checked.
        if (!isAddress(exception.target, false))
            result.add(field, "\"" + exception.target + "\" is not the address of an endpoint", "write ip:port");
        return;
    }
    if (std::ranges::find(known, exception.target) != known.end())
        return;
    const auto nearest = nearestName(exception.target, known);
    const std::string scope = schema::EnumNameexception_scope(exception.scope);
    result.add(field, "there is no " + scope + " \"" + exception.target + "\"",
        nearest ? "did you mean \"" + *nearest + "\"?" : "use the name of a " + scope + " of this file");
}

void checkExceptions(const schema::fleet_configurationT& configuration, reading& result)
{
    const auto& exceptions = configuration.exceptions;
    checkUnique(
        exceptions, "exceptions", "id", [](const auto& exception) { return exception.id; }, result);
    std::map<std::string, std::size_t> seen;
    for (std::size_t i = 0; i < exceptions.size(); ++i) {
        const auto& exception = *exceptions[i];
        const auto checkable = [&](const std::string& field) { return !result.isFaulty(at("exceptions", i, field)); };
        if (checkable("reason") && exception.reason.find_first_not_of(" \t\n") == std::string::npos)
            result.add(at("exceptions", i, "reason"), "is blank", "write why the exception is needed");
        if (checkable("author") && exception.author.find_first_not_of(" \t\n") == std::string::npos)
            result.add(at("exceptions", i, "author"), "is blank", "write who asked for the exception");
        if (checkable("scope") && checkable("target"))
            checkTarget(configuration, exception, at("exceptions", i, "target"), result);
        if (checkable("setting") && checkable("value")) {
            schema::fleet_defaultsT scratch;
            if (const auto fault = setDefault(scratch, exception.setting, exception.value))
                result.add(at("exceptions", i, fault->message.find("no field") != std::string::npos ? "setting" : "value"), fault->message,
                    fault->remedy);
        }
        if (!exception.expires.empty() && !parseUtcTime(exception.expires))
            result.add(
                at("exceptions", i, "expires"), "\"" + exception.expires + "\" is not a time in UTC", "write it like 2027-01-31T08:00:00Z");
        if (checkable("scope") && checkable("target") && checkable("setting")) {
            const std::string subject
                = std::string(schema::EnumNameexception_scope(exception.scope)) + " " + exception.target + " " + exception.setting;
            const auto [first, isNew] = seen.emplace(subject, i);
            if (!isNew)
                result.add(at("exceptions", i, "setting"),
                    "exceptions[" + std::to_string(first->second) + "] already sets " + exception.setting + " for " + exception.target,
                    "keep one of the two");
        }
    }
}

} // namespace

void checkFleet(const schema::fleet_configurationT& configuration, reading& result)
{
    checkTiers(configuration, result);
    checkTeams(configuration, result);
    checkServices(configuration, result);
    checkExceptions(configuration, result);
}

} // namespace carawaylink::settings_detail
