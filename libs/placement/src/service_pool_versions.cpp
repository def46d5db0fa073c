#include "placement/service_pool.h"

#include <algorithm>

namespace carawaylink::placement {

namespace {

// The first request of each route after a change of the split goes to the target, so that rare routes are tested as well.
constexpr double firstRequestCredit = 0.999;

} // namespace

void service_pool::setVersionRules(const version_rules& rules, const std::optional<version_split>& split)
{
    if (rules == m_versionRules && split == m_versionSplit)
        return;
    const bool isOtherTerm = rules.stamp.order != m_versionRules.stamp.order || rules.stamp.term != m_versionRules.stamp.term;
    if (isOtherTerm)
        m_targetGrants = 0;
    const auto shareOf = [](const std::optional<version_split>& given) { return given ? given->share : 0; };
    if (isOtherTerm || shareOf(split) != shareOf(m_versionSplit))
        m_splitByRoute.clear();
    m_versionRules = rules;
    m_versionSplit = split;
    for (auto& [id, endpoint] : m_endpoints)
        applyVersionRules(endpoint);
    m_hasChanged = true;
}

void service_pool::applyVersionRules(endpoint_state& endpoint) const
{
    const auto& version = endpoint.record.version;
    endpoint.isTarget = m_versionRules.hasOrder() && version == m_versionRules.target;
    const bool isSuperseded
        = m_versionSplit && !endpoint.isTarget && m_versionRules.isInProgress() && m_versionRules.use == version_use::target_only;
    const bool isLeftOut
        = endpoint.isTarget && m_versionRules.use == version_use::both && m_versionSplit && !m_versionSplit->mayGrant(endpoint.record.id);
    endpoint.isVersionAllowed = m_versionRules.allows(version) && !isLeftOut && !isSuperseded;
}

std::optional<service_pool::candidate> service_pool::chooseEndpoint(const waiting_request& request, bool mustMeetTarget, monotonic_time now)
{
    if (!m_versionRules.isInProgress())
        return chooseAmong(std::nullopt, request, mustMeetTarget, now);
    // A node without the owner uses the target only where nothing else is listed.
    if (m_versionRules.use == version_use::target_only) {
        const bool hasOld = std::ranges::any_of(m_usable, [](const endpoint_state* endpoint) { return !endpoint->isTarget; });
        return chooseAmong(hasOld ? std::optional(false) : std::nullopt, request, mustMeetTarget, now);
    }
    // A slow version must be used all the same, since it would otherwise get too few requests to be recognized.
    if (isTargetDue(request.route)) {
        if (auto chosen = chooseAmong(true, request, false, now))
            return chosen;
    }
    return chooseAmong(false, request, mustMeetTarget, now);
}

bool service_pool::isTargetDue(std::uint64_t route) const
{
    if (!m_versionSplit || m_versionSplit->share <= 0 || m_targetGrants >= m_versionSplit->maxTargetGrants)
        return false;
    const auto found = m_splitByRoute.find(route);
    const auto counts = found == m_splitByRoute.end() ? split_counts {} : found->second;
    return static_cast<double>(counts.target + 1) <= m_versionSplit->share * static_cast<double>(counts.all + 1) + firstRequestCredit;
}

bool service_pool::runsVersion(const replica_id& replica, const std::string& version) const
{
    const auto found = m_endpoints.find(replica);
    return found != m_endpoints.end() && found->second.record.version == version;
}

bool service_pool::acceptsVersion(const std::string& version) const
{
    return std::ranges::any_of(m_endpoints, [&](const auto& entry) {
        const auto& endpoint = entry.second;
        return endpoint.record.version == version && endpoint.isListed && !whyUnusable(endpoint);
    });
}

void service_pool::countSent(const waiting_request& request, const endpoint_state& endpoint, monotonic_time now)
{
    if (!m_versionRules.isInProgress() || !m_versionSplit)
        return;
    m_targetGrants += endpoint.isTarget ? 1 : 0;
    auto& counts = m_splitByRoute[request.route];
    ++counts.all;
    counts.target += endpoint.isTarget ? 1 : 0;
    m_observations.push_back(
        { version_event::sent, request.id, request.route, endpoint.record.id, endpoint.isTarget, {}, {}, now < endpoint.warmAt });
}

void service_pool::observe(
    version_event event, std::uint64_t id, const running_request& running, bool isTarget, duration time, outcome result)
{
    if (m_versionRules.isInProgress() && m_versionSplit && !running.isAdopted)
        m_observations.push_back({ event, id, running.route, running.replica, isTarget, time, result });
}

std::size_t service_pool::runningOld() const
{
    std::size_t running = 0;
    for (const auto& [id, endpoint] : m_endpoints)
        running += endpoint.isTarget ? 0 : endpoint.load.running;
    return running;
}

} // namespace carawaylink::placement
