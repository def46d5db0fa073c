#pragma once

#include "base/ids.h"

#include <cstdint>
#include <span>
#include <string>

namespace carawaylink::gateway {

/// Assembles a configuration from the parts that peers send. The receiver asks for one part at a time and from one peer, so that a large
/// configuration neither fills its link nor arrives several times. Does no I/O and reads no clock.
class configuration_transfer {
public:
    /// Of a first part, which several peers are asked for; a small configuration is complete with it.
    static constexpr std::uint32_t firstPartBytes = 16384;
    static constexpr std::uint32_t partBytes = 65536;

    struct part {
        config_version version;
        /// Of the whole configuration.
        std::uint32_t size = 0;
        std::uint32_t offset = 0;
        std::span<const std::uint8_t> bytes;
    };
    enum class step { ignored, incomplete, complete };

    /// known: the version in force, which no transfer is needed for.
    step receive(const node_id& peer, const part& received, config_version known, monotonic_time now);
    /// Whether a peer is expected to send the next part.
    bool isActive(monotonic_time now) const;
    /// The part to ask for next: any newer version from its start, if the version is 0.
    config_version version() const { return m_version; }
    std::uint32_t offset() const { return static_cast<std::uint32_t>(m_bytes.size()); }
    /// Returns the bytes of a complete transfer and forgets it.
    std::string take();
    void abandon() { *this = {}; }

private:
    bool continues(const part& received) const { return received.version == m_version && received.offset == m_bytes.size(); }

    node_id m_peer;
    config_version m_version;
    std::string m_bytes;
    monotonic_time m_lastPartAt {};
};

} // namespace carawaylink::gateway
