#pragma once

#include "gossip_queue.h"
#include "membership/failure_detector.h"
#include "seed_list.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace carawaylink {

/// Maximum of Lifeguard's local health multiplier; timeouts grow to at most nine times their configured value.
inline constexpr unsigned maxHealthScore = 8;

/// Source of an update about a member.
enum class update_source {
    /// Sent by the member itself.
    direct,
    gossip,
    /// Part of a state exchange.
    exchange,
};

struct member_record {
    member_update info;
    monotonic_time stateSince;
    /// Time of the last datagram from the member itself.
    monotonic_time lastHeard;
    /// The member acknowledged a datagram with this process's full description, so that later datagrams may omit it.
    bool acknowledgedDescription = false;
    /// Valid only while suspect.
    monotonic_time suspectUntil;
    /// Set only while suspect: time of the next datagram that notifies the member of the suspicion.
    std::optional<monotonic_time> nextNotification;
};

/// The probe in progress; one member is probed at a time.
struct probe {
    node_id target;
    std::uint32_t sequence = 0;
    monotonic_time stageEnds;
    /// 0: direct; 1 and 2: the two halves of the indirect phase.
    int stage = 0;
    std::size_t relayCount = 0;
    std::vector<node_id> respondingRelays;
};

/// A probe made on behalf of another member.
struct relayed_probe {
    node_id requester;
    std::uint32_t requesterSequence = 0;
    node_id target;
    monotonic_time expires;
};

struct failure_detector::implementation {
    member_update self;
    failure_detector_settings settings;
    random_source random;
    std::vector<membership_action> actions;

    std::map<node_id, member_record> members;
    // Indexes of members by state: every tick visits these sets, which are small.
    std::set<node_id> suspects;
    std::set<node_id> dead;
    /// Dead members that others report as alive; probed soon.
    std::set<node_id> deadReportedAlive;
    gossip_queue gossip;
    seed_list seeds;

    // Alive and suspect members, in a fixed probe order; new members are inserted at a random position. The fixed order bounds the time
    // between two probes of a member to one cycle.
    std::vector<node_id> probeOrder;
    std::size_t probeIndex = 0;
    std::uint64_t probeCount = 0;
    std::optional<probe> current;
    std::map<std::uint32_t, relayed_probe> relayed;
    std::uint32_t lastSequence = 0;
    /// 0 means healthy; timeouts are multiplied by 1 + healthScore.
    unsigned healthScore = 0;

    std::optional<monotonic_time> lastTick;
    monotonic_time nextProbe;
    monotonic_time nextSweep;
    monotonic_time nextSeedTry;
    /// Accumulated fraction of the next probe of a dead member; a probe is due at 1.
    double deadProbeCredit = 0;
    bool pushDue = false;
    monotonic_time nextPush;

    bool joined = false;
    /// The state exchanges after the start are complete.
    bool initialSyncDone = false;
    /// The first periodic exchange, which follows after a shorter interval, has been scheduled.
    bool firstPeriodicPullDone = false;
    unsigned initialPulls = 0;
    /// Number of members announced by the last exchange, and how many of them were received.
    std::size_t exchangeExpected = 0;
    std::size_t exchangeReceived = 0;
    /// Number of members added since the last exchange was requested.
    std::size_t membersLearned = 0;
    monotonic_time nextPull;
    monotonic_time nextUnknownGroupPull;
    monotonic_time nextRecoveryPull;
    monotonic_time joinAnswerWindow;
    unsigned joinAnswersInWindow = 0;

    implementation(member_update initial, failure_detector_settings initialSettings, std::uint64_t seed);

    std::vector<membership_action> takeActions();

    // member_changes.cpp: state of the members.
    void apply(monotonic_time now, const member_update& update, update_source source);
    void applyAboutSelf(const member_update& update);
    void addMember(monotonic_time now, const member_update& update, update_source source);
    void addToProbeOrder(const node_id& node);
    void removeFromProbeOrder(const node_id& node);
    void updateStateSets(const member_update& member);
    void changeState(monotonic_time now, member_record& record, member_state state);
    void suspect(monotonic_time now, member_record& record, unsigned score);
    void announceSelf();
    void endSuspicions(monotonic_time now);
    void removeExpiredMembers(monotonic_time now);
    duration suspicionTime(unsigned score) const;
    std::size_t liveMembers() const { return probeOrder.size() + 1; }

    // probing.cpp: timed probes and exchanges.
    void tick(monotonic_time now);
    void compensatePause(monotonic_time now, duration pause);
    void startProbe(monotonic_time now);
    void continueProbe(monotonic_time now);
    void failProbe(monotonic_time now);
    std::optional<node_id> nextTarget();
    void probeDead(duration elapsed);
    void probeReportedAlive();
    void trySeeds(monotonic_time now);
    void syncState(monotonic_time now);
    void pull(monotonic_time now, const node_id& from);
    void pullFromUnknownGroup(monotonic_time now, const node_id& from);
    void push(monotonic_time now);
    void notifySuspects(monotonic_time now);
    std::vector<node_id> randomMembers(std::size_t count, const node_id& except);

    // failure_detector.cpp: sending and receiving datagrams.
    void receive(monotonic_time now, const membership_packet& packet);
    void receiveAck(monotonic_time now, const membership_packet& packet);
    void answerJoin(monotonic_time now, const membership_packet& packet);
    void send(packet_kind kind, std::uint32_t sequence, const node_id& to, const node_id& target = {});
    std::uint32_t ping(const node_id& to);
};

} // namespace carawaylink
