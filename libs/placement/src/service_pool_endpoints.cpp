#include "placement/service_pool.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace carawaylink::placement {

namespace {

// What an endpoint said of itself is kept for this long after the registry has stopped listing it. Far longer than the registry, a copy or
// a snapshot of it may still list the process.
constexpr auto noticeRetention = std::chrono::minutes(10);

} // namespace

void service_pool::setEndpoints(const std::vector<discovery::endpoint_record>& records, monotonic_time now)
{
    for (auto& [id, endpoint] : m_endpoints) {
        if (std::exchange(endpoint.isListed, false))
            endpoint.unlistedAt = now;
    }
    const auto typical = meanEndpointSpeed();
    for (const auto& record : records) {
        const auto [position, inserted] = m_endpoints.try_emplace(record.id);
        auto& endpoint = position->second;
        const bool restarted
            = !inserted && (endpoint.record.startedAtMs != record.startedAtMs || endpoint.record.address != record.address);
        if (restarted) {
            endpoint.health = {};
            endpoint.limit = {};
            forgetPrefixes(endpoint);
            endpoint.reuseCheck = {};
        }
        if (inserted || restarted)
            endpoint.warmAt = now + std::chrono::milliseconds(record.coldLeftMs);
        endpoint.record = record;
        endpoint.notice.registered(record.startedAtMs);
        endpoint.isListed = true;
        applyVersionRules(endpoint);
        if (inserted) {
            endpoint.lastProgress = now;
            endpoint.model.setInitialEstimate(typical);
        }
    }
    for (auto& [id, endpoint] : m_endpoints) {
        if (!endpoint.isListed)
            forgetPrefixes(endpoint);
    }
    std::erase_if(m_endpoints, [now](const auto& entry) { return isForgotten(entry.second, now); });
    m_hasChanged = true;
}

endpoint_speed service_pool::meanEndpointSpeed() const
{
    std::vector<endpoint_speed> speeds;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (endpoint.model.combined().samples > 0)
            speeds.push_back(endpoint.model.combined());
    }
    return meanSpeed(speeds);
}

void service_pool::setShare(std::size_t rank, std::size_t count)
{
    m_rank = rank;
    m_nodeCount = std::max<std::size_t>(count, 1);
}

void service_pool::setReportedSpeed(const replica_id& replica, const endpoint_speed& speed)
{
    const auto found = m_endpoints.find(replica);
    if (found != m_endpoints.end())
        found->second.model.setReported(speed);
}

std::optional<endpoint_speed> service_pool::speedOf(const replica_id& replica) const
{
    const auto found = m_endpoints.find(replica);
    return found == m_endpoints.end() ? std::nullopt : std::optional(found->second.model.combined());
}

std::map<replica_id, endpoint_speed> service_pool::speeds() const
{
    std::map<replica_id, endpoint_speed> result;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (endpoint.model.combined().samples > 0)
            result.emplace(id, endpoint.model.combined());
    }
    return result;
}

bool service_pool::setRequestLimit(const replica_id& replica, double perSecond, monotonic_time now)
{
    const auto found = m_endpoints.find(replica);
    if (found == m_endpoints.end())
        return false;
    auto& limit = found->second.limit;
    const bool hasChanged = limit.perSecond() != perSecond;
    // Nodes that share the endpoint start at different levels, so that they do not all send at the same time.
    limit.set(perSecond, share() * static_cast<double>(positionAt(replica)), share(), now);
    return hasChanged;
}

bool service_pool::liftRequestLimit(const replica_id& replica, monotonic_time sentAt)
{
    const auto found = m_endpoints.find(replica);
    if (found == m_endpoints.end() || !found->second.limit.lift(sentAt))
        return false;
    m_hasChanged = true;
    return true;
}

std::optional<double> service_pool::requestLimitOf(const replica_id& replica) const
{
    const auto found = m_endpoints.find(replica);
    return found == m_endpoints.end() ? std::nullopt : found->second.limit.perSecond();
}

std::map<replica_id, double> service_pool::requestLimits() const
{
    std::map<replica_id, double> result;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (const auto perSecond = endpoint.limit.perSecond(); perSecond && endpoint.isListed)
            result.emplace(id, *perSecond);
    }
    return result;
}

bool service_pool::setLeaving(const replica_id& replica, std::int64_t startedAtMs)
{
    const auto found = m_endpoints.find(replica);
    if (found == m_endpoints.end() || !found->second.notice.setLeaving(startedAtMs))
        return false;
    m_hasChanged = true;
    return true;
}

bool service_pool::setRest(const replica_id& replica, std::int64_t startedAtMs, const node_id& node, monotonic_time until)
{
    const auto found = m_endpoints.find(replica);
    return found != m_endpoints.end() && found->second.notice.setRest(startedAtMs, node, until);
}

std::optional<unusable_reason> service_pool::whyUnusable(const replica_id& replica, const node_id& sender, monotonic_time now) const
{
    const auto found = m_endpoints.find(replica);
    if (found == m_endpoints.end())
        return unusable_reason::unlisted;
    const auto reason = whyUnusable(found->second);
    if (!reason && found->second.notice.restUntil(sender, now))
        return unusable_reason::resting;
    return reason;
}

std::optional<unusable_reason> service_pool::whyUnusable(const endpoint_state& endpoint)
{
    if (!endpoint.isListed)
        return unusable_reason::unlisted;
    if (endpoint.record.draining)
        return unusable_reason::draining;
    if (endpoint.notice.isLeaving())
        return unusable_reason::leaving;
    if (!endpoint.isVersionAllowed)
        return unusable_reason::version;
    return std::nullopt;
}

const endpoint_notice* service_pool::noticeOf(const replica_id& replica) const
{
    const auto found = m_endpoints.find(replica);
    return found == m_endpoints.end() ? nullptr : &found->second.notice;
}

std::vector<replica_id> service_pool::withNotice(monotonic_time now) const
{
    std::vector<replica_id> result;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (!endpoint.notice.isEmpty(now))
            result.push_back(id);
    }
    return result;
}

std::int64_t service_pool::startOf(const replica_id& replica) const
{
    const auto found = m_endpoints.find(replica);
    return found == m_endpoints.end() ? 0 : found->second.record.startedAtMs;
}

notice_counts service_pool::countNotices(monotonic_time now) const
{
    notice_counts counts;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (!endpoint.isListed)
            continue;
        counts.leaving += endpoint.notice.isLeaving() ? 1 : 0;
        counts.resting += endpoint.notice.rests(now) ? 1 : 0;
    }
    return counts;
}

// What an endpoint said must outlive an entry of the registry that is missing for a while.
bool service_pool::isForgotten(const endpoint_state& endpoint, monotonic_time now)
{
    const bool isRemembered = !endpoint.notice.isEmpty(now) && now - endpoint.unlistedAt < noticeRetention;
    return !endpoint.isListed && endpoint.load.running == 0 && !isRemembered;
}

unsigned service_pool::usableSlots(const endpoint_state& endpoint) const
{
    const auto slots = std::max(endpoint.record.slots, 1U);
    const auto baseSlots = static_cast<unsigned>(slots / m_nodeCount);
    const auto remainder = slots % m_nodeCount;
    return baseSlots + (positionAt(endpoint.record.id) < remainder ? 1 : 0);
}

std::size_t service_pool::positionAt(const replica_id& replica) const
{
    return (m_rank + std::hash<std::string> {}(replica.value)) % m_nodeCount;
}

std::map<replica_id, endpoint_load> service_pool::loads() const
{
    std::map<replica_id, endpoint_load> result;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (endpoint.load.running > 0)
            result.emplace(id, endpoint.load);
    }
    return result;
}

pool_load service_pool::totalLoad() const
{
    pool_load total;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (!whyUnusable(endpoint))
            total.slots += usableSlots(endpoint);
        total.running += endpoint.load.running;
    }
    total.waiting = static_cast<unsigned>(m_waiting.size());
    return total;
}

} // namespace carawaylink::placement
