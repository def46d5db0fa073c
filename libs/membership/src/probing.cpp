#include "detector.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace carawaylink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The caller ticks every 50 ms; a longer gap means that this process was paused, so that its expired timeouts say nothing about other
// members.
constexpr duration pauseThreshold = milliseconds(250);
// In larger clusters, the member with the oldest datagram is the next one in the probe order anyway.
constexpr std::size_t maxMembersForUnheardFirst = 32;
// Below this health score, a failed probe to which no relay reacted is attributed to this process and raises no suspicion.
constexpr unsigned minHealthScoreToSuspect = 2;
// Number of members that are notified at once of a death, a refutation or a drain; gossip reaches the others.
constexpr std::size_t pushFanout = 3;
constexpr duration pushInterval = milliseconds(200);
// Without this limit, members that lost contact with 500 others at once sent 8 KB/s of notifications each.
constexpr std::ptrdiff_t maxSuspectNotificationsPerTick = 4;
constexpr std::size_t seedsPerTry = 2;
constexpr double maxDeadProbesPerSecond = 1;
// All live members together probe each dead member about this many times per deadProbeInterval.
constexpr double deadProbeFactor = 2;
// Interval between the state exchanges after the start; a reply of 100 datagrams arrives in far less time.
constexpr duration initialPullInterval = seconds(1);
// The number of known members can double with every exchange, so 12 exchanges suffice for thousands of members that start together.
constexpr unsigned maxInitialPulls = 12;
// With fewer exchanges, members that started together stopped while they and every member they had asked still knew few others.
constexpr unsigned minInitialPulls = 3;
constexpr duration unknownGroupPullInterval = seconds(5);
// Intervals of the periodic exchanges after the initial ones. In proportion to the cluster size, they keep the traffic at about 50 B/s
// per member.
constexpr duration minPeriodicPullInterval = seconds(30);
constexpr duration firstPeriodicPullInterval = seconds(10);
constexpr duration pullIntervalPerMember = milliseconds(2500);

} // namespace

void failure_detector::implementation::tick(monotonic_time now)
{
    const duration elapsed = lastTick ? now - *lastTick : duration::zero();
    if (!lastTick) {
        nextProbe = now + duration(std::uniform_int_distribution<duration::rep>(0, settings.probeInterval.count())(random));
        deadProbeCredit = std::uniform_real_distribution<double>(0, 1)(random);
    } else if (elapsed > pauseThreshold) {
        compensatePause(now, elapsed);
    }
    lastTick = now;
    if (self.state == member_state::left)
        return;
    endSuspicions(now);
    if (current && current->stageEnds <= now)
        continueProbe(now);
    if (!current && nextProbe <= now)
        startProbe(now);
    notifySuspects(now);
    probeDead(std::min(elapsed, pauseThreshold));
    probeReportedAlive();
    trySeeds(now);
    syncState(now);
    push(now);
    if (nextSweep <= now) {
        nextSweep = now + seconds(1);
        removeExpiredMembers(now);
        seeds.dropStale(now, settings.deadMemberRetention);
        std::erase_if(relayed, [&](const auto& item) { return item.second.expires < now; });
    }
}

void failure_detector::implementation::compensatePause(monotonic_time now, duration pause)
{
    for (auto& [node, record] : members)
        record.suspectUntil += pause;
    if (current)
        current->stageEnds += pause;
    nextProbe = std::max(nextProbe, now);
    healthScore = std::min(healthScore + 1, maxHealthScore);
}

std::optional<node_id> failure_detector::implementation::nextTarget()
{
    if (probeOrder.empty())
        return std::nullopt;
    ++probeCount;
    // Every second probe targets the member with the oldest datagram, which detects a dead one sooner in a small cluster. The other
    // probes follow the order, because a member that can send but not receive always has a recent datagram.
    if (probeCount % 2 == 0 && probeOrder.size() <= maxMembersForUnheardFirst)
        return *std::ranges::min_element(probeOrder, {}, [&](const auto& node) { return members.at(node).lastHeard; });
    if (probeIndex >= probeOrder.size())
        probeIndex = 0;
    return probeOrder[probeIndex++];
}

void failure_detector::implementation::startProbe(monotonic_time now)
{
    const auto interval = settings.probeInterval * (1 + healthScore);
    // The jitter prevents members that started together from probing in lockstep.
    const auto spread = interval.count() / 10;
    nextProbe = now + interval + duration(std::uniform_int_distribution<duration::rep>(-spread, spread)(random));
    const auto target = nextTarget();
    if (!target)
        return;
    current = probe { *target, ping(*target), now + settings.probeTimeout * (1 + healthScore), 0, 0, {} };
}

void failure_detector::implementation::continueProbe(monotonic_time now)
{
    if (++current->stage > 2) {
        failProbe(now);
        return;
    }
    current->stageEnds = now + settings.probeTimeout * (1 + healthScore) / 2;
    // The direct ping is repeated as well: most probes fail because one datagram was lost, and each false suspicion costs gossip among
    // all members. The pause between the two repetitions outlasts short bursts of loss.
    send(packet_kind::ping, current->sequence, current->target);
    if (current->stage == 2)
        return;
    const auto relays = randomMembers(settings.indirectProbeCount, current->target);
    current->relayCount = relays.size();
    for (const auto& relay : relays)
        send(packet_kind::ping_request, current->sequence, relay, current->target);
}

void failure_detector::implementation::failProbe(monotonic_time now)
{
    const auto failed = *std::exchange(current, std::nullopt);
    const unsigned score = healthScore;
    const std::size_t silent = failed.relayCount - std::min(failed.relayCount, failed.respondingRelays.size());
    const auto penalty = static_cast<unsigned>(failed.relayCount == 0 ? 1 : silent);
    healthScore = std::min(healthScore + penalty, maxHealthScore);
    // If no relay reacts either, this process is more likely to be the one that is cut off.
    if (failed.relayCount > 0 && failed.respondingRelays.empty() && score < minHealthScoreToSuspect)
        return;
    auto& record = members.at(failed.target);
    if (record.info.state != member_state::alive)
        return;
    suspect(now, record, score);
    record.nextNotification = now;
}

/// Notifies members that this process suspects, so that they can refute without waiting for gossip.
void failure_detector::implementation::notifySuspects(monotonic_time now)
{
    std::vector<node_id> due;
    std::ranges::copy_if(suspects, std::back_inserter(due), [&](const auto& node) {
        const auto& next = members.at(node).nextNotification;
        return next && *next <= now;
    });
    std::vector<node_id> chosen;
    std::ranges::sample(due, std::back_inserter(chosen), maxSuspectNotificationsPerTick, random);
    for (const auto& node : chosen) {
        members.at(node).nextNotification = now + 2 * settings.probeTimeout;
        ping(node);
    }
}

void failure_detector::implementation::probeDead(duration elapsed)
{
    if (dead.empty())
        return;
    // The live members share the probes, so that neither the loss of a failure domain nor one dead vm in a large cluster causes a surge
    // of probes.
    const double perSecond = deadProbeFactor * static_cast<double>(dead.size()) / static_cast<double>(liveMembers())
        / std::chrono::duration<double>(settings.deadProbeInterval).count();
    deadProbeCredit += std::min(perSecond, maxDeadProbesPerSecond) * std::chrono::duration<double>(elapsed).count();
    if (deadProbeCredit < 1)
        return;
    deadProbeCredit -= 1;
    ping(*std::next(dead.begin(), std::uniform_int_distribution<std::ptrdiff_t>(0, std::ssize(dead) - 1)(random)));
}

/// Probes one member per tick: gossip from the first members that answer makes most of the other probes unnecessary.
void failure_detector::implementation::probeReportedAlive()
{
    std::erase_if(deadReportedAlive, [&](const auto& node) { return !dead.contains(node); });
    if (deadReportedAlive.empty())
        return;
    const auto chosen
        = std::next(deadReportedAlive.begin(), std::uniform_int_distribution<std::ptrdiff_t>(0, std::ssize(deadReportedAlive) - 1)(random));
    ping(*chosen);
    deadReportedAlive.erase(chosen);
}

void failure_detector::implementation::trySeeds(monotonic_time now)
{
    if (nextSeedTry > now || seeds.empty())
        return;
    nextSeedTry = now + settings.probeInterval;
    for (const auto& node : seeds.takeDue(now, seedsPerTry, settings.probeInterval, random)) {
        if (members.contains(node))
            seeds.remove(node);
        else if (joined)
            ping(node);
        else
            send(packet_kind::join, ++lastSequence, node);
    }
}

/// Repeats the state exchange as long as it yields new members, because parts of it may be lost and members that start together know few
/// others. Later exchanges are rare and repair views that differ although no gossip is queued.
void failure_detector::implementation::syncState(monotonic_time now)
{
    // joined is not a condition: if the seeds sent a join first, this process has received no answer yet but already knows members to
    // ask.
    if (probeOrder.empty() || nextPull > now)
        return;
    const bool incomplete = exchangeReceived < exchangeExpected;
    initialSyncDone
        = initialSyncDone || initialPulls >= maxInitialPulls || (initialPulls >= minInitialPulls && !incomplete && membersLearned == 0);
    ++initialPulls;
    for (const auto& node : randomMembers(1, {}))
        pull(now, node);
}

void failure_detector::implementation::pull(monotonic_time now, const node_id& from)
{
    if (initialSyncDone) {
        // The jitter prevents members that started together from exchanging state at the same time.
        const duration periodicInterval = std::max<duration>(minPeriodicPullInterval, probeOrder.size() * pullIntervalPerMember);
        const duration interval = std::exchange(firstPeriodicPullDone, true) ? periodicInterval : firstPeriodicPullInterval;
        nextPull = now + interval / 2 + duration(std::uniform_int_distribution<duration::rep>(0, interval.count())(random));
    } else {
        nextPull = now + initialPullInterval;
    }
    membersLearned = 0;
    exchangeExpected = 0;
    exchangeReceived = 0;
    send(packet_kind::join, ++lastSequence, from);
}

/// Fetches the view of a member that may belong to a separate group.
void failure_detector::implementation::pullFromUnknownGroup(monotonic_time now, const node_id& from)
{
    if (nextUnknownGroupPull > now)
        return;
    nextUnknownGroupPull = now + unknownGroupPullInterval;
    send(packet_kind::join, ++lastSequence, from);
}

void failure_detector::implementation::push(monotonic_time now)
{
    if (!pushDue || nextPush > now)
        return;
    pushDue = false;
    nextPush = now + pushInterval;
    for (const auto& node : randomMembers(pushFanout, {}))
        ping(node);
}

std::vector<node_id> failure_detector::implementation::randomMembers(std::size_t count, const node_id& except)
{
    std::vector<node_id> alive;
    std::ranges::copy_if(probeOrder, std::back_inserter(alive),
        [&](const node_id& node) { return node != except && members.at(node).info.state == member_state::alive; });
    std::vector<node_id> chosen;
    std::ranges::sample(alive, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(count), random);
    return chosen;
}

} // namespace carawaylink
