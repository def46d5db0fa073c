#pragma once

#include "base/enum_table.h"
#include "base/ids.h"
#include "base/random.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace carawaylink {

enum class member_state {
    alive,
    suspect,
    dead,
    left,
};

inline constexpr auto memberStateNames = enumTable<member_state>({
    { member_state::alive, "alive" },
    { member_state::suspect, "suspect" },
    { member_state::dead, "dead" },
    { member_state::left, "left" },
});

/// What is said about one member; spread by gossip.
struct member_update {
    node_id node;
    incarnation run;
    /// Raised by a member that refutes a suspicion about itself.
    std::uint32_t refutation = 0;
    member_state state = member_state::alive;
    failure_domain domain;
    std::string region;
    std::string httpAddress;
    bool draining = false;
    config_version config;
};

enum class packet_kind {
    ping,
    ping_request,
    ack,
    join,
    join_answer,
};

/// One datagram of the failure detector.
struct membership_packet {
    packet_kind kind = packet_kind::ping;
    std::uint32_t sequence = 0;
    member_update sender;
    /// Only for ping_request: the member to probe.
    node_id target;
    std::vector<member_update> updates;
};

struct send_packet {
    node_id to;
    membership_packet packet;
};

/// A member changed its state, or what it says about itself.
struct member_changed {
    member_update member;
    member_state before = member_state::dead;
};

using membership_action = std::variant<send_packet, member_changed>;

struct failure_detector_settings {
    duration probeInterval = std::chrono::milliseconds(500);
    duration probeTimeout = std::chrono::milliseconds(200);
    duration suspicionTimeout = std::chrono::milliseconds(1000);
    /// Members asked to probe in our place.
    std::size_t indirectProbes = 2;
    /// Updates carried by one datagram.
    std::size_t maxUpdates = 8;
    /// A dead member is probed again this often, so that two halves of a partition meet again.
    duration deadProbeInterval = std::chrono::seconds(5);
    /// A dead member that stays away this long is forgotten.
    duration forgetAfter = std::chrono::minutes(30);
};

/// SWIM failure detector (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
/// Protocol") with suspicion, and with local health awareness as in "Lifeguard" (Dadgar, Phillips, Currey): a process that
/// misses acknowledgements itself lengthens its timeouts. Not thread-safe; does no I/O and reads no clock.
class failure_detector {
public:
    failure_detector(member_update self, failure_detector_settings settings, std::uint64_t seed);
    ~failure_detector();

    /// Learns addresses from the settings or the lagging list of vms; wrong entries only cost probes.
    std::vector<membership_action> addSeeds(monotonic_time now, const std::vector<node_id>& seeds);
    std::vector<membership_action> receive(monotonic_time now, const membership_packet& packet);
    /// Drives probes and timeouts; call at least every 50 ms.
    std::vector<membership_action> tick(monotonic_time now);

    /// Changes what this process says about itself.
    std::vector<membership_action> setDraining(monotonic_time now);
    std::vector<membership_action> setConfigVersion(monotonic_time now, config_version version);
    /// Announces a planned departure.
    std::vector<membership_action> leave(monotonic_time now);
    /// The process at that address is known to have ended, for example by a refused connection.
    std::vector<membership_action> confirmDead(monotonic_time now, const node_id& node, incarnation run);

    const member_update& self() const;
    /// All members but this one, also dead ones that are not forgotten yet.
    std::vector<member_update> members() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace carawaylink
