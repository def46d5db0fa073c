#include "path_monitor.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace carawaylink::gateway {

namespace {

// Silence of all endpoints at once, while requests wait there.
constexpr auto suspiciousSilence = std::chrono::milliseconds(300);
// Different endpoints that fail one after the other, without an answer, or without a new connection, between.
constexpr std::size_t maxUnreachable = 2;
constexpr std::size_t maxUnconnectable = 4;
// Endpoints of the first round, since most doubts are wrong, and of the others, which find out whether none can be reached and whether
// some can again.
constexpr std::size_t probesOfFirstRound = 1;
constexpr std::size_t probesOfRound = 6;
constexpr unsigned roundsUntilLost = 2;
constexpr unsigned roundsUntilBack = 2;
constexpr auto returnInterval = std::chrono::milliseconds(250);
// After doubts that were wrong.
constexpr auto doubtInterval = std::chrono::milliseconds(1000);

} // namespace

void path_monitor::recordAnswer(bool isNewConnection, monotonic_time now)
{
    m_answeredAt = now;
    m_unreachable.clear();
    if (isNewConnection)
        m_unconnectable.clear();
}

void path_monitor::recordUnreachable(const endpoint_id& address)
{
    m_unreachable.insert(address);
    m_unconnectable.insert(address);
}

std::optional<duration> path_monitor::answeredAgo(monotonic_time now) const
{
    return m_answeredAt ? std::optional(now - *m_answeredAt) : std::nullopt;
}

bool path_monitor::isSuspicious(monotonic_time now) const
{
    const bool isSilent = m_waitingSince && now - std::max(*m_waitingSince, m_answeredAt.value_or(monotonic_time {})) > suspiciousSilence;
    return m_isSuspected || isSilent || m_unreachable.size() >= maxUnreachable || m_unconnectable.size() >= maxUnconnectable;
}

std::vector<endpoint_id> path_monitor::takeProbes(monotonic_time now)
{
    // A single endpoint cannot be told from the path to it.
    if (!canLose() || m_pendingProbes > 0 || now < m_nextRoundAt)
        return {};
    if (m_state == path_state::working) {
        if (!isSuspicious(now))
            return {};
        enter(path_state::doubtful, now);
    }
    const bool isFirst = m_state == path_state::doubtful && m_failedRounds == 0;
    beginRound(isFirst ? probesOfFirstRound : probesOfRound, now);
    return sample(m_pendingProbes);
}

std::vector<endpoint_id> path_monitor::sample(std::size_t count)
{
    std::vector<endpoint_id> result;
    std::ranges::sample(m_addresses, std::back_inserter(result), static_cast<std::ptrdiff_t>(count), m_random);
    return result;
}

void path_monitor::beginRound(std::size_t probes, monotonic_time now)
{
    m_pendingProbes = static_cast<unsigned>(std::min(probes, m_addresses.size()));
    m_connectedProbes = 0;
    m_nextRoundAt = m_state == path_state::lost ? now + returnInterval : now;
}

void path_monitor::recordProbe(bool isConnected, monotonic_time now)
{
    if (m_pendingProbes == 0)
        return;
    m_connectedProbes += isConnected ? 1 : 0;
    if (--m_pendingProbes == 0)
        endRound(now);
}

void path_monitor::endRound(monotonic_time now)
{
    if (m_state == path_state::lost) {
        m_connectedRounds = m_connectedProbes > 0 ? m_connectedRounds + 1 : 0;
        if (m_connectedRounds >= roundsUntilBack)
            enter(path_state::working, now);
        return;
    }
    if (m_connectedProbes > 0) {
        enter(path_state::working, now);
        return;
    }
    ++m_failedRounds;
    if (m_failedRounds < roundsUntilLost)
        return;
    // Where no node can connect, it is the endpoints that are gone, and callers are no better off elsewhere.
    enter(m_isPeerConnected ? path_state::lost : path_state::working, now);
}

void path_monitor::enter(path_state state, monotonic_time now)
{
    if (state == path_state::working) {
        m_nextRoundAt = now + doubtInterval;
        m_unreachable.clear();
        m_unconnectable.clear();
    }
    m_isSuspected = false;
    if (state == path_state::doubtful) {
        m_needsPeers = true;
        m_isPeerConnected = false;
        m_failedRounds = 0;
    }
    m_connectedRounds = 0;
    m_state = state;
}

bool path_monitor::takePeerQuery()
{
    return std::exchange(m_needsPeers, false);
}

} // namespace carawaylink::gateway
