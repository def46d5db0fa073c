#pragma once

#include "limits/usage_collector.h"
#include "placement/slot_messages.h"
#include "quarantine/prompt_part.h"
#include "rollout/evidence.h"
#include "streams/stream_start.h"
#include "wire/generated/peer_state_generated.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace carawaylink::gateway {

/// Identifies an endpoint in messages between nodes.
std::uint64_t replicaHash(const discovery::replica_id& id);
/// Identifies a team in messages between nodes.
limits::team_hash teamHash(const team_id& team);
/// Identifies a service in messages between nodes.
quarantine::service_hash serviceHash(const service_id& service);
/// Identifies a shared prompt part of a service in messages between nodes.
quarantine::part_hash partHash(quarantine::service_hash service, std::string_view id);
/// A time span in a message; zero if negative.
std::uint32_t encodeMilliseconds(duration span);

/// Returns the endpoint of a hash; nullopt if this node does not know it.
using replica_lookup = std::function<std::optional<discovery::endpoint_record>(std::uint64_t hash)>;

/// Messages carry times relative to now, since the clocks of two nodes cannot be compared.
peer::slot_callT encodeCall(const placement::slot_call& call, monotonic_time now);
placement::slot_call decodeCall(const peer::slot_callT& message, const replica_lookup& lookup, monotonic_time now);
peer::slot_replyT encodeReply(const placement::slot_reply& reply);
placement::slot_reply decodeReply(const peer::slot_replyT& message, const replica_lookup& lookup);

/// Rules on the versions of a service. share: see peer::rollout_rulesT.
peer::rollout_rulesT encodeRules(const service_id& service, const placement::version_rules& rules, double share);
placement::version_rules decodeRules(const peer::rollout_rulesT& message);
std::vector<peer::route_evidence> encodeEvidence(const rollout::evidence& collected);
rollout::evidence decodeEvidence(const std::vector<peer::route_evidence>& entries);
/// Starts of streams, in messages and as a record of the store. A record that cannot be read has none.
peer::stream_startsT encodeStarts(const std::vector<streams::stream_start>& starts);
std::vector<streams::stream_start> decodeStarts(const peer::stream_startsT& message);
std::string encodeStartRecord(const std::vector<streams::stream_start>& starts);
std::vector<streams::stream_start> decodeStartRecord(const std::string& record);
/// Identifies a route in messages and records; never 0.
rollout::route_hash routeHash(const std::string& name);

} // namespace carawaylink::gateway
