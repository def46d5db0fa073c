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

/// State and attributes of one member, as carried in datagrams and spread by gossip.
struct member_update {
    node_id node;
    incarnation run;
    /// Incremented by a member to refute a suspicion about itself.
    std::uint32_t refutation = 0;
    member_state state = member_state::alive;
    failure_domain domain;
    std::string region;
    std::string httpAddress;
    bool draining = false;
    config_version config;
    /// Processor capacity in thousandths of a core; 0 if unknown.
    std::uint16_t capacity = 0;
};

enum class packet_kind {
    ping,
    ping_request,
    ack,
    /// Requests the receiver's view of all live members.
    join,
    /// Carries a part of that view.
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

/// A member's state or its attributes changed.
struct member_changed {
    member_update member;
    member_state before = member_state::dead;
};

using membership_action = std::variant<send_packet, member_changed>;

struct failure_detector_settings {
    duration probeInterval = std::chrono::milliseconds(500);
    duration probeTimeout = std::chrono::milliseconds(200);
    duration suspicionTimeout = std::chrono::milliseconds(1000);
    /// Members asked to probe the target on this process's behalf.
    std::size_t indirectProbeCount = 2;
    /// Maximum number of updates per datagram.
    std::size_t maxUpdates = 8;
    /// Mean interval between probes of a dead member, which let the two sides of a partition find each other again.
    duration deadProbeInterval = std::chrono::seconds(5);
    /// Time after which a dead or departed member is removed.
    duration deadMemberRetention = std::chrono::minutes(30);
    /// A process whose incarnation is below that of its predecessor, because the clock was set back, takes the next greater one. Not for
    /// processes whose incarnation is used as their identity elsewhere.
    bool renewsIncarnation = false;
};

/// SWIM failure detector (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol")
/// with suspicion and local health awareness as in "Lifeguard" (Dadgar, Phillips, Currey): a process that misses acknowledgements itself
/// lengthens its timeouts. Not thread-safe; performs no I/O and reads no clock.
class failure_detector {
public:
    failure_detector(member_update self, failure_detector_settings settings, std::uint64_t seed);
    ~failure_detector();

    /// Adds addresses from the settings or from the possibly outdated list of vms; wrong entries only cost probes.
    std::vector<membership_action> addSeeds(monotonic_time now, const std::vector<node_id>& seeds);
    std::vector<membership_action> receive(monotonic_time now, const membership_packet& packet);
    /// Drives probes and timeouts; call at least every 50 ms.
    std::vector<membership_action> tick(monotonic_time now);

    /// Changes this process's own attributes, which are sent to the other members.
    std::vector<membership_action> setDraining(monotonic_time now);
    std::vector<membership_action> setConfigVersion(monotonic_time now, config_version version);
    /// Announces the address at which this member now accepts callers.
    std::vector<membership_action> setHttpAddress(monotonic_time now, const std::string& address);
    /// Announces a planned departure.
    std::vector<membership_action> leave(monotonic_time now);
    /// Marks a member dead at once because its process is known to have ended, for example after a refused connection.
    std::vector<membership_action> confirmDead(monotonic_time now, const node_id& node, incarnation run);

    const member_update& self() const;
    /// All members except this process, including dead ones that have not been removed yet.
    std::vector<member_update> members() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace carawaylink
