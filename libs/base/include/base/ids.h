#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>

namespace carawaylink {

/// Strongly typed value; values with different tags do not convert into each other.
template <typename Tag, typename Representation> struct strong_value {
    Representation value {};

    strong_value() = default;
    explicit strong_value(Representation initial)
        : value(std::move(initial))
    {
    }

    friend auto operator<=>(const strong_value&, const strong_value&) = default;
    friend std::ostream& operator<<(std::ostream& out, const strong_value& self) { return out << self.value; }
};

using team_id = strong_value<struct team_tag, std::string>;
using service_id = strong_value<struct service_tag, std::string>;
/// Address of an endpoint, "ip:port".
using endpoint_id = strong_value<struct endpoint_tag, std::string>;
/// Address of a node's peer port, "ip:port"; the identity of a vm that runs carawaylinkd.
using node_id = strong_value<struct node_tag, std::string>;
using failure_domain = strong_value<struct failure_domain_tag, std::string>;

/// Identifies one run of a node process; a later run of the same node has a larger value.
using incarnation = strong_value<struct incarnation_tag, std::uint64_t>;
/// Number of accepted configuration changes.
using config_version = strong_value<struct config_version_tag, std::uint64_t>;
/// Position of a record in a stream of the platform log.
using log_offset = strong_value<struct log_offset_tag, std::uint64_t>;
/// Count of prompt or output tokens.
using tokens = strong_value<struct tokens_tag, std::int64_t>;
/// Urgency class; 0 is the most urgent.
using tier = strong_value<struct tier_tag, std::uint8_t>;

/// Point on the monotonic clock of one process; never sent to or compared with another process.
using monotonic_time = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

/// Identifies a request across all nodes: the incarnation of its home node and a counter within that incarnation.
struct request_id {
    std::uint64_t origin = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const request_id&, const request_id&) = default;
};

/// Formats the id as "origin-sequence", each with 16 hexadecimal digits.
std::string toString(const request_id& id);
/// Parses the format of toString(); throws error(invalid_argument) if the text is malformed.
request_id parseRequestId(std::string_view text);
std::ostream& operator<<(std::ostream& out, const request_id& id);

} // namespace carawaylink

template <typename Tag, typename Representation> struct std::hash<carawaylink::strong_value<Tag, Representation>> {
    std::size_t operator()(const carawaylink::strong_value<Tag, Representation>& id) const noexcept
    {
        return std::hash<Representation> {}(id.value);
    }
};

template <> struct std::hash<carawaylink::request_id> {
    std::size_t operator()(const carawaylink::request_id& id) const noexcept
    {
        return std::hash<std::uint64_t> {}(id.origin) * 31 + std::hash<std::uint64_t> {}(id.sequence);
    }
};
