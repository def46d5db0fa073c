#pragma once

#include <algorithm>
#include <array>
#include <limits>
#include <string_view>

namespace carawaylink::settings_detail {

enum class presence {
    optional,
    required, ///< the key must be there; a text must not be empty, a list must have an element
};

/// Allowed values of one field. The path leaves out list positions: "teams[].weight".
struct field_rule {
    std::string_view path;
    presence needed = presence::optional;
    double minimum = 0;
    double maximum = std::numeric_limits<double>::infinity();
    std::string_view unit = "";
};

/// Every required field and every range of daemon_settings and fleet_configuration; paths of the two do not collide.
inline constexpr auto fieldRules = std::to_array<field_rule>({
    // Daemon settings.
    { "cluster", presence::required },
    { "node_address", presence::required },
    { "http_address", presence::required },
    { "failure_domain", presence::required },
    { "region", presence::required },
    { "log_address", presence::required },
    { "io_threads", presence::optional, 1, 64, "threads" },
    { "ticket_table_size", presence::optional, 16, 16777216, "tickets" },
    { "witness_table_size", presence::optional, 16, 16777216, "tickets" },
    { "cluster_keys", presence::required },
    { "cluster_keys[].id", presence::required },
    { "cluster_keys[].secret", presence::required },
    { "operator_keys[].name", presence::required },
    { "operator_keys[].sha256", presence::required },
    { "tls.certificate_file", presence::required },
    { "tls.private_key_file", presence::required },
    { "limits.max_header_bytes", presence::optional, 1024, 1048576, "bytes" },
    { "limits.max_body_bytes", presence::optional, 1024, 1073741824, "bytes" },
    { "limits.header_timeout_ms", presence::optional, 100, 600000, "ms" },
    { "limits.body_timeout_ms", presence::optional, 100, 3600000, "ms" },
    { "limits.write_timeout_ms", presence::optional, 100, 3600000, "ms" },
    { "limits.idle_timeout_ms", presence::optional, 100, 3600000, "ms" },
    { "limits.max_connections", presence::optional, 1, 1000000, "connections" },
    { "timing.heartbeat_ms", presence::optional, 10, 60000, "ms" },
    { "timing.connection_silence_ms", presence::optional, 50, 60000, "ms" },
    { "timing.probe_interval_ms", presence::optional, 10, 60000, "ms" },
    { "timing.probe_timeout_ms", presence::optional, 5, 60000, "ms" },
    { "timing.suspicion_ms", presence::optional, 10, 60000, "ms" },
    { "timing.pool_sync_wait_ms", presence::optional, 10, 60000, "ms" },
    { "timing.grant_lifetime_ms", presence::optional, 50, 60000, "ms" },
    { "timing.progress_interval_ms", presence::optional, 10, 60000, "ms" },
    { "timing.stream_idle_ms", presence::optional, 50, 600000, "ms" },
    { "timing.endpoint_poll_ms", presence::optional, 10, 60000, "ms" },
    { "timing.vm_list_poll_ms", presence::optional, 10, 60000, "ms" },
    { "timing.log_poll_ms", presence::optional, 10, 60000, "ms" },
    { "timing.usage_flush_ms", presence::optional, 100, 600000, "ms" },
    { "timing.config_snapshot_ms", presence::optional, 1000, 86400000, "ms" },
    { "timing.entry_lifetime_ms", presence::optional, 100, 3600000, "ms" },
    { "timing.ticket_lifetime_ms", presence::optional, 1000, 86400000, "ms" },
    { "timing.intent_timeout_ms", presence::optional, 10, 60000, "ms" },
    { "timing.drain_limit_ms", presence::optional, 0, 3600000, "ms" },
    // Fleet configuration.
    { "defaults.pool_size", presence::optional, 1, 1024, "endpoints" },
    { "defaults.long_request_factor", presence::optional, 1, 1000, "times the median cost" },
    { "defaults.long_slot_share", presence::optional, 0.01, 1, "share of the slots" },
    { "defaults.straggler_factor", presence::optional, 1.05, 100, "times the median time per token" },
    { "defaults.retry_budget_share", presence::optional, 0, 1, "share of the requests" },
    { "defaults.max_waiting_per_team", presence::optional, 1, 1000000, "requests" },
    { "defaults.max_waiting_per_pool", presence::optional, 1, 1000000, "requests" },
    { "defaults.default_deadline_ms", presence::optional, 100, 86400000, "ms" },
    { "defaults.default_output_tokens", presence::optional, 1, 1000000, "tokens" },
    { "defaults.team_requests_per_s", presence::optional, 0, 1e7, "requests/s, 0 for no limit" },
    { "defaults.team_tokens_per_s", presence::optional, 0, 1e10, "tokens/s, 0 for no limit" },
    { "defaults.weight_store_loads", presence::optional, 1, 1000, "loads at a time" },
    { "tiers", presence::required },
    { "tiers[].level", presence::required, 0, 15, "" },
    { "tiers[].name", presence::required },
    { "tiers[].deadline_ms", presence::optional, 100, 86400000, "ms" },
    { "teams", presence::required },
    { "teams[].name", presence::required },
    { "teams[].weight", presence::optional, 0.001, 1000, "" },
    { "teams[].highest_tier", presence::optional, 0, 15, "" },
    { "teams[].default_tier", presence::optional, 0, 15, "" },
    { "services", presence::required },
    { "services[].name", presence::required },
    { "exceptions[].id", presence::required },
    { "exceptions[].scope", presence::required },
    { "exceptions[].target", presence::required },
    { "exceptions[].setting", presence::required },
    { "exceptions[].value", presence::required },
    { "exceptions[].reason", presence::required },
    { "exceptions[].author", presence::required },
});

/// Returns the rule of a field, or nullptr where the field has none.
constexpr const field_rule* findRule(std::string_view pattern)
{
    const auto found = std::ranges::find(fieldRules, pattern, &field_rule::path);
    return found == fieldRules.end() ? nullptr : &*found;
}

} // namespace carawaylink::settings_detail
