#include "configuration_transfer.h"

#include <chrono>
#include <utility>

namespace carawaylink::gateway {

namespace {

// A peer that sends nothing for this long is replaced by another, which goes on where it stopped.
constexpr auto partTimeout = std::chrono::milliseconds(400);
constexpr std::uint32_t maxConfigurationBytes = 16U << 20;

bool isValid(const configuration_transfer::part& received)
{
    return received.size <= maxConfigurationBytes && received.offset < received.size && !received.bytes.empty()
        && received.bytes.size() <= received.size - received.offset;
}

} // namespace

configuration_transfer::step configuration_transfer::receive(
    const node_id& peer, const part& received, config_version known, monotonic_time now)
{
    if (received.version <= known || !isValid(received))
        return step::ignored;
    if (isActive(now) && peer != m_peer)
        return step::ignored;
    if (!continues(received)) {
        if (received.offset > 0)
            return step::ignored;
        m_version = received.version;
        m_bytes.clear();
    }
    m_peer = peer;
    m_lastPartAt = now;
    m_bytes.append(received.bytes.begin(), received.bytes.end());
    return m_bytes.size() == received.size ? step::complete : step::incomplete;
}

bool configuration_transfer::isActive(monotonic_time now) const
{
    return !m_peer.value.empty() && now - m_lastPartAt < partTimeout;
}

std::string configuration_transfer::take()
{
    auto bytes = std::move(m_bytes);
    abandon();
    return bytes;
}

} // namespace carawaylink::gateway
