#pragma once

#include "gossip_queue.h"
#include "membership/failure_detector.h"
#include "seed_list.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace carawaylink {

/// Bound of Lifeguard's local health multiplier; timeouts grow to at most nine times their setting.
inline constexpr unsigned maxHealthScore = 8;

/// Where an update about a member came from.
enum class update_source {
    /// The member itself sent it.
    direct,
    gossip,
    /// Part of a state exchange.
    exchange,
};

struct member_record {
    member_update info;
    monotonic_time stateSince;
    /// Last datagram from the member itself.
    monotonic_time heard;
    /// Acknowledged a datagram with our full description, so that later ones may leave it out.
    bool knowsSelf = false;
    /// Only while suspect.
    monotonic_time suspectUntil;
    /// Only while suspect: when to tell the member (again).
    std::optional<monotonic_time> nextNotice;
};

/// One member is probed at a time.
struct probe {
    node_id target;
    std::uint32_t sequence = 0;
    monotonic_time stageEnds;
    /// Direct, then through helpers in two halves.
    int stage = 0;
    std::size_t helpers = 0;
    std::vector<node_id> helpersHeard;
};

/// A probe made for another member.
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
    // Kept apart, because ticks visit them and they are few.
    std::set<node_id> suspects;
    std::set<node_id> dead;
    /// Dead members that others have for alive; probed soon.
    std::set<node_id> recheck;
    gossip_queue gossip;
    seed_list seeds;

    // Alive and suspect members, in the fixed order of probing; newcomers enter at a random place. The fixed order bounds the
    // time between two probes of a member by one cycle.
    std::vector<node_id> probeOrder;
    std::size_t probeIndex = 0;
    std::uint64_t probeCount = 0;
    std::optional<probe> current;
    std::map<std::uint32_t, relayed_probe> relayed;
    std::uint32_t lastSequence = 0;
    /// 0 is healthy; timeouts are multiplied by 1 + healthScore.
    unsigned healthScore = 0;

    std::optional<monotonic_time> lastTick;
    monotonic_time nextProbe;
    monotonic_time nextSweep;
    monotonic_time nextSeedTry;
    /// Fraction of a probe of a dead member that is due.
    double deadProbeCredit = 0;
    bool pushDue = false;
    monotonic_time nextPush;

    bool joined = false;
    /// The state exchanges after the start are over.
    bool settled = false;
    /// The one exchange soon after that is over.
    bool settledCheckDone = false;
    unsigned pulls = 0;
    /// Members in the last exchange, and how many of them arrived.
    std::size_t exchangeExpected = 0;
    std::size_t exchangeReceived = 0;
    /// Members learned since the last exchange was requested.
    std::size_t learned = 0;
    monotonic_time nextPull;
    monotonic_time nextStrangerPull;
    monotonic_time joinAnswerWindow;
    unsigned joinAnswersInWindow = 0;

    implementation(member_update initial, failure_detector_settings initialSettings, std::uint64_t seed);

    std::vector<membership_action> takeActions();

    // member_changes.cpp: what is known about members.
    void apply(monotonic_time now, const member_update& update, update_source source);
    void applyAboutSelf(const member_update& update);
    void addMember(monotonic_time now, const member_update& update, update_source source);
    void addToProbeOrder(const node_id& node);
    void removeFromProbeOrder(const node_id& node);
    void index(const member_update& member);
    void changeState(monotonic_time now, member_record& record, member_state state);
    void suspect(monotonic_time now, member_record& record, unsigned score);
    void announceSelf();
    void endSuspicions(monotonic_time now);
    void forgetOldMembers(monotonic_time now);
    duration suspicionTime(unsigned score) const;
    std::size_t liveMembers() const { return probeOrder.size() + 1; }

    // probing.cpp: what is sent on time.
    void tick(monotonic_time now);
    void compensatePause(monotonic_time now, duration pause);
    void startProbe(monotonic_time now);
    void continueProbe(monotonic_time now);
    void failProbe(monotonic_time now);
    std::optional<node_id> nextTarget();
    void probeDead(duration elapsed);
    void recheckDead();
    void trySeeds(monotonic_time now);
    void settle(monotonic_time now);
    void pull(monotonic_time now, const node_id& from);
    void pullFromStranger(monotonic_time now, const node_id& from);
    void push(monotonic_time now);
    void noticeSuspects(monotonic_time now);
    std::vector<node_id> randomMembers(std::size_t count, const node_id& except);

    // failure_detector.cpp: datagrams.
    void receive(monotonic_time now, const membership_packet& packet);
    void receiveAck(monotonic_time now, const membership_packet& packet);
    void answerJoin(monotonic_time now, const membership_packet& packet);
    void send(packet_kind kind, std::uint32_t sequence, const node_id& to, const node_id& target = {});
    std::uint32_t ping(const node_id& to);
};

} // namespace carawaylink
