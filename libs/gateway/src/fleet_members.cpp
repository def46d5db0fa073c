#include "fleet_members.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

namespace carawaylink::gateway {

namespace {

// A node that was lost may still serve callers behind a network partition and use the quotas there.
constexpr auto possibleNodeTimeout = std::chrono::seconds(20);
constexpr std::string_view noPort = ":0";

} // namespace

std::string addressWithoutCallers(const std::string& frontend)
{
    return frontend.substr(0, frontend.rfind(':')) + std::string(noPort);
}

bool acceptsCallers(const std::string& announced)
{
    return !announced.empty() && !announced.ends_with(noPort);
}

fleet_members::fleet_members(node_id self, unsigned capacity, monotonic_time now)
    : m_self(std::move(self))
    , m_capacity(capacity)
    , m_startedAt(now)
{
}

void fleet_members::apply(const member_update& member, monotonic_time now)
{
    const auto [position, inserted] = m_members.try_emplace(member.node);
    auto& known = position->second;
    const auto before = std::tuple(known.isReachable(), known.isServing(), known.info.capacity);
    if (inserted || known.info.state != member.state)
        known.since = now;
    known.info = member;
    if (inserted || before != std::tuple(known.isReachable(), known.isServing(), known.info.capacity))
        ++m_version;
}

void fleet_members::setSelfServing(bool isServing)
{
    if (std::exchange(m_isSelfServing, isServing) != isServing)
        ++m_version;
}

fleet_size fleet_members::size(monotonic_time now) const
{
    fleet_size result;
    for (const auto& [node, member] : m_members) {
        const bool hasEnded = member.info.state == member_state::left || (member.info.draining && !member.isReachable());
        if (member.isReachable() || (!hasEnded && now - member.since < possibleNodeTimeout))
            ++result.possible;
        if (member.isReachable())
            ++result.reachable;
        if (!member.isServing())
            continue;
        ++result.live;
        if (node < m_self)
            ++result.rank;
    }
    if (now - m_startedAt < possibleNodeTimeout) {
        result.possible += static_cast<std::size_t>(
            std::ranges::count_if(m_listed, [this](const node_id& node) { return node != m_self && !m_members.contains(node); }));
    }
    return result;
}

std::vector<placement::owner_candidate> fleet_members::serving() const
{
    std::vector<placement::owner_candidate> result;
    if (m_isSelfServing)
        result.push_back({ m_self, m_capacity });
    for (const auto& [node, member] : m_members) {
        if (member.isServing())
            result.push_back({ node, member.info.capacity });
    }
    return result;
}

std::vector<std::string> fleet_members::frontends() const
{
    std::vector<std::string> alive;
    std::vector<std::string> suspects;
    for (const auto& [node, member] : m_members) {
        if (member.isServing())
            (member.info.state == member_state::alive ? alive : suspects).push_back(member.info.httpAddress);
    }
    return alive.empty() && !m_isSelfServing ? suspects : alive;
}

std::vector<node_id> fleet_members::reachable() const
{
    std::vector<node_id> result { m_self };
    for (const auto& [node, member] : m_members) {
        if (member.isReachable())
            result.push_back(node);
    }
    std::ranges::sort(result);
    return result;
}

node_id fleet_members::nodeFor(std::uint64_t key) const
{
    const auto nodes = reachable();
    return *rendezvousOwner({ reinterpret_cast<const char*>(&key), sizeof key }, nodes);
}

incarnation fleet_members::runOf(const node_id& node) const
{
    const auto found = m_members.find(node);
    return found == m_members.end() ? incarnation {} : found->second.info.run;
}

std::size_t fleet_members::reachableBefore() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_members, [this](const auto& entry) { return entry.first < m_self && entry.second.isReachable(); }));
}

} // namespace carawaylink::gateway
