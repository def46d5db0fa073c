#pragma once

#include "base/ids.h"

#include <cstdint>
#include <map>
#include <optional>

namespace carawaylink::placement {

/// What an endpoint has said about itself in its answers: that it leaves, or that it accepts nothing from a node for some time. It holds
/// for one process of the endpoint, which its start identifies (Unix milliseconds), and ends when a later one registers.
class endpoint_notice {
public:
    /// The process that started then says that it leaves; returns whether that is new.
    bool setLeaving(std::int64_t startedAtMs);
    /// The process that started then accepts nothing from the node until this time; returns whether that is longer than known.
    bool setRest(std::int64_t startedAtMs, const node_id& node, monotonic_time until);
    /// The registry lists the process that started then.
    void registered(std::int64_t startedAtMs);

    bool isLeaving() const { return m_isLeaving; }
    std::int64_t startedAtMs() const { return m_startedAtMs; }
    /// Time until which the endpoint accepts nothing from the node; nullopt if it accepts requests now.
    std::optional<monotonic_time> restUntil(const node_id& node, monotonic_time now) const;
    /// Whether the endpoint rests for any node.
    bool rests(monotonic_time now) const;
    bool isEmpty(monotonic_time now) const { return !m_isLeaving && !rests(now); }

private:
    bool concerns(std::int64_t startedAtMs);

    std::int64_t m_startedAtMs = 0;
    bool m_isLeaving = false;
    std::map<node_id, monotonic_time> m_restUntil;
};

} // namespace carawaylink::placement
