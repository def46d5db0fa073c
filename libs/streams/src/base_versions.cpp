#include "streams/base_versions.h"

#include <algorithm>
#include <utility>

namespace carawaylink::streams {

namespace {

// Interval between reads while another node is about to write the first base.
constexpr auto firstReadInterval = std::chrono::milliseconds(500);
// Interval between reads while other versions are in service, one of which may have become the base.
constexpr auto readInterval = std::chrono::seconds(30);

} // namespace

const base_versions::service_state* base_versions::find(const service_id& service) const
{
    const auto found = m_states.find(service);
    return found == m_states.end() ? nullptr : &found->second;
}

void base_versions::setBases(const bases& read, monotonic_time asOf)
{
    m_asOf = asOf;
    for (auto& [service, state] : m_states)
        state.isStored = false;
    for (const auto& [service, version] : read) {
        auto& state = m_states[service];
        state.isStored = true;
        if (std::exchange(state.base, version) != version) {
            state.baseMissingSince.reset();
            updateMissing(state, asOf);
        }
    }
}

void base_versions::setEndpoints(const endpoints_by_service& endpoints, monotonic_time now)
{
    for (const auto& [service, records] : endpoints)
        m_states.try_emplace(service);
    for (auto& [service, state] : m_states) {
        std::map<std::string, listed_version> listed;
        if (const auto found = endpoints.find(service); found != endpoints.end()) {
            for (const auto& record : found->second) {
                auto& entry = listed[record.version];
                entry.accepting += record.draining ? 0 : 1;
                const auto before = state.listed.find(record.version);
                entry.since = before == state.listed.end() ? now : before->second.since;
            }
        }
        state.listed = std::move(listed);
        updateMissing(state, now);
    }
}

void base_versions::updateMissing(service_state& state, monotonic_time now)
{
    if (!state.base || state.listed.contains(*state.base))
        state.baseMissingSince.reset();
    else if (!state.baseMissingSince)
        state.baseMissingSince = now;
}

std::optional<std::string> base_versions::baseOf(const service_id& service) const
{
    const auto* state = find(service);
    return state ? state->base : std::nullopt;
}

bool base_versions::isUnrecorded(const software_version& software) const
{
    const auto* state = find(software.service);
    if (!state || state->base != software.version || !state->isStored || !m_asOf)
        return false;
    const auto listed = state->listed.find(software.version);
    return listed != state->listed.end() && *m_asOf >= listed->second.since;
}

std::size_t base_versions::endpointsOf(const software_version& software) const
{
    const auto* state = find(software.service);
    if (!state)
        return 0;
    const auto listed = state->listed.find(software.version);
    return listed == state->listed.end() ? 0 : listed->second.accepting;
}

bool base_versions::isOnlyVersion(const software_version& software) const
{
    const auto* state = find(software.service);
    return state && state->listed.size() == 1 && state->listed.contains(software.version);
}

bool base_versions::needsRead(duration age) const
{
    if (!m_asOf)
        return false;
    return std::ranges::any_of(m_services, [&](const service_id& service) {
        const auto* state = find(service);
        if (!state || state->listed.empty())
            return false;
        if (!state->base)
            return age > firstReadInterval;
        const auto listed = state->listed.find(*state->base);
        const bool isUnconfirmed = listed != state->listed.end() && *m_asOf < listed->second.since;
        return isUnconfirmed || (state->baseMissingSince && age > readInterval);
    });
}

std::vector<software_version> base_versions::due(monotonic_time now) const
{
    std::vector<software_version> result;
    if (!m_asOf)
        return result;
    for (const auto& service : m_services) {
        const auto* state = find(service);
        if (!state)
            continue;
        const bool hasEnded = state->baseMissingSince && now - *state->baseMissingSince >= streamReturnTime;
        if (state->base && state->isStored && !hasEnded)
            continue;
        const auto next = state->base && !hasEnded ? state->base : mostListed(*state);
        if (next)
            result.push_back({ service, *next });
    }
    return result;
}

std::optional<std::string> base_versions::mostListed(const service_state& state)
{
    const auto most = std::ranges::max_element(state.listed, {}, [](const auto& entry) { return entry.second.accepting; });
    return most == state.listed.end() || most->second.accepting == 0 ? std::nullopt : std::optional(most->first);
}

} // namespace carawaylink::streams
