#include "rollout_driver.h"

#include "log_position.h"
#include "placement/pool_assignment.h"

#include <algorithm>
#include <utility>

namespace carawaylink::gateway {

namespace {

// Rules of the deciding owner are not used by the owners of other pools any longer without their repetition.
constexpr auto maxRulesAge = std::chrono::milliseconds(1000);
// Nodes that cannot read the store get the rules on an order for this long after it was made or decided.
constexpr auto passOnTime = std::chrono::seconds(30);

placement::version_use useOf(const rollout::usage_plan& plan)
{
    if (!plan.usesTarget)
        return placement::version_use::old_only;
    return plan.usesOld ? placement::version_use::both : placement::version_use::target_only;
}

} // namespace

// A node that started in another history of the store numbers the same order differently.
bool concerns(const rollout::status& status, const rollout::order& order)
{
    constexpr auto offsetMask = (std::uint64_t { 1 } << orderOffsetBits) - 1;
    return (status.order & offsetMask) == (order.number & offsetMask) && (status.target == order.target || !order.fault.empty());
}

bool rollout_driver::isExcluded(const service_state& state, const std::string& version)
{
    return std::ranges::find(state.excluded, version) != state.excluded.end();
}

bool rollout_driver::isOld(const service_state& state, const discovery::endpoint_record& endpoint)
{
    return endpoint.version != state.order->target && !isExcluded(state, endpoint.version);
}

// A target that is untested, or was found bad, must not become the old version of the next order.
std::vector<std::string> rollout_driver::excludedAfter(const service_state& state, const std::string& target)
{
    auto excluded = state.excluded;
    const auto& received = state.received;
    const bool isKnown = state.order && state.order->fault.empty();
    const bool isCompleted
        = state.status && isKnown && concerns(*state.status, *state.order) && state.status->stage == rollout::stage::completed;
    // Most nodes know from their peers alone how an order ended.
    const bool isEndedByPeers = isKnown && received.stamp.isFinal && received.stamp.order == state.order->number;
    if (isEndedByPeers) {
        excluded = received.retired;
        if (received.use != placement::version_use::target_only)
            excluded.push_back(state.order->target);
    } else if (isCompleted) {
        excluded.insert(excluded.end(), state.status->oldVersions.begin(), state.status->oldVersions.end());
    } else if (isKnown) {
        excluded.push_back(state.order->target);
    }
    std::erase(excluded, target);
    return excluded;
}

bool rollout_driver::hasOldEndpoint(const service_id& name, const service_state& state) const
{
    return std::ranges::any_of(m_slots.endpointsOf(name),
        [&](const discovery::endpoint_record& endpoint) { return isOld(state, endpoint) && !endpoint.draining; });
}

placement::version_rules rollout_driver::knownRules(const service_id& name, const service_state& state) const
{
    const auto& received = state.received;
    if (!state.order || received.stamp.order > state.order->number)
        return received;
    if (!state.order->fault.empty())
        return state.rulesBefore;
    placement::version_rules rules;
    rules.stamp.order = state.order->number;
    rules.target = state.order->target;
    rules.retired = state.excluded;
    if (state.status && concerns(*state.status, *state.order) && rollout::isFinal(state.status->stage)) {
        rules.stamp.isFinal = true;
        rules.use
            = state.status->stage == rollout::stage::completed ? placement::version_use::target_only : placement::version_use::old_only;
        if (state.status->stage == rollout::stage::completed)
            rules.retired.insert(rules.retired.end(), state.status->oldVersions.begin(), state.status->oldVersions.end());
        return rules;
    }
    if (received.stamp.isFinal && received.stamp.order == rules.stamp.order)
        return received;
    if (!hasOldEndpoint(name, state))
        rules.use = placement::version_use::target_only;
    return rules;
}

std::vector<discovery::replica_id> rollout_driver::canaries(const service_id& name, const std::string& target, std::size_t count) const
{
    const auto& endpoints = m_slots.endpointsOf(name);
    const auto pools = placement::poolCount(endpoints.size());
    std::vector<discovery::replica_id> result;
    for (const auto& endpoint : endpoints) {
        if (endpoint.version == target && !endpoint.draining && placement::poolOf(endpoint.id, pools) == 0)
            result.push_back(endpoint.id);
    }
    std::ranges::sort(result, {}, replicaHash);
    result.resize(std::min(result.size(), count));
    return result;
}

void rollout_driver::applyRules(const service_id& name, service_state& state, monotonic_time now)
{
    const auto known = knownRules(name, state);
    auto owned = known;
    std::map<std::uint32_t, placement::version_split> splits;
    const auto pools = placement::poolCount(m_slots.endpointsOf(name).size());
    if (state.decider && !known.stamp.isFinal && state.order->fault.empty()) {
        const auto plan = state.decider->plan(now);
        const bool isAlone = !hasOldEndpoint(name, state);
        const auto use = isAlone ? placement::version_use::target_only : useOf(plan);
        if (std::exchange(state.use, use) != use)
            ++state.sequence;
        owned.stamp = { state.order->number, false, state.term, state.sequence };
        owned.use = use;
        const bool isTest = plan.maxTargetRequests.has_value();
        state.poolShare = isTest ? 0 : plan.share;
        for (std::uint32_t number = 0; number < pools; ++number)
            splits[number].share = state.poolShare;
        if (isTest) {
            auto& split = splits[0];
            split.canaries = canaries(name, state.order->target, plan.canaries);
            split.share = split.canaries.empty() ? 0 : plan.share;
            split.maxTargetGrants = *plan.maxTargetRequests;
        }
        state.ownRules = owned;
    } else if (!known.stamp.isFinal && state.received.stamp > known.stamp && now - state.receivedAt <= maxRulesAge) {
        owned = state.received;
        for (std::uint32_t number = 0; number < pools; ++number)
            splits[number].share = state.receivedShare;
    }
    if (known.hasOrder() || state.hasAppliedRules)
        m_slots.setVersionRules(name, known, owned, splits);
    state.hasAppliedRules = known.hasOrder();
}

rollout::route_hash rollout_driver::routeOf(const service_id& service, const std::string& route) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() || !isOpen(found->second) ? 0 : routeHash(route);
}

bool rollout_driver::decides() const
{
    return std::ranges::any_of(m_services, [](const auto& entry) { return entry.second.ownsSince.has_value(); });
}

bool rollout_driver::hasOpenOrders() const
{
    return std::ranges::any_of(m_services, [this](const auto& entry) { return isOpen(entry.second); });
}

std::vector<peer::rollout_rulesT> rollout_driver::rulesToPassOn(monotonic_time now) const
{
    std::vector<peer::rollout_rulesT> result;
    for (const auto& [name, state] : m_services) {
        const auto rules = knownRules(name, state);
        if (rules.hasOrder() && rules.stamp.term == 0 && (isOpen(state) || now - state.changedAt < passOnTime))
            result.push_back(encodeRules(name, rules, 0));
    }
    return result;
}

std::optional<service_status> rollout_driver::statusOf(const service_id& service, monotonic_time now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return std::nullopt;
    const auto& state = found->second;
    if (state.decider)
        return service_status { service, state.decider->current(now), 0 };
    if (state.status)
        return service_status { service, *state.status, 0 };
    if (!state.order)
        return std::nullopt;
    rollout::status unknown;
    unknown.order = state.order->number;
    unknown.target = state.order->target;
    unknown.time = state.order->time;
    unknown.elapsed = now - state.orderedAt;
    unknown.reason = "this node knows no status of the order; ask the node that decides";
    return service_status { service, unknown, 0 };
}

} // namespace carawaylink::gateway
