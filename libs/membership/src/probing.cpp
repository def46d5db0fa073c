#include "detector.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace carawaylink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The caller ticks every 50 ms; a longer gap means that this process was paused and its timeouts say nothing about others.
constexpr duration pauseThreshold = milliseconds(250);
// With more members the longest-unheard one is the next in probing order anyway.
constexpr std::size_t maxMembersForUnheardFirst = 32;
// Failed probes without a sign of life from any helper that are blamed on this process before others are suspected.
constexpr unsigned silentHelperTolerance = 2;
// Members that are told at once of a death, a refutation or a drain; gossip reaches the rest.
constexpr std::size_t pushFanout = 3;
constexpr duration pushInterval = milliseconds(200);
// Without the bound, members that lose sight of 500 others at once sent 8 KB/s of notices each.
constexpr std::ptrdiff_t maxNoticesPerTick = 1;
constexpr std::size_t seedsPerTry = 2;
constexpr double maxDeadProbesPerSecond = 1;
// Each dead member is probed by someone about this many times per deadProbeInterval.
constexpr double deadProbeFactor = 2;
// Between two state exchanges after the start; an answer of 100 datagrams arrives in much less.
constexpr duration settleInterval = seconds(1);
// Known members can double with every exchange, so 12 are enough for thousands that start together.
constexpr unsigned maxPulls = 12;
// With fewer, members that started together stopped while they and all whom they asked still knew little.
constexpr unsigned minPulls = 3;
constexpr duration strangerPullInterval = seconds(5);
// The long interval keeps the repeated exchanges at about 50 B/s per member in any size.
constexpr duration minLongPullInterval = seconds(30);
constexpr duration firstCheckInterval = seconds(10);
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
    noticeSuspects(now);
    probeDead(std::min(elapsed, pauseThreshold));
    recheckDead();
    trySeeds(now);
    settle(now);
    push(now);
    if (nextSweep <= now) {
        nextSweep = now + seconds(1);
        forgetOldMembers(now);
        seeds.dropStale(now, settings.forgetAfter);
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
    // Every second probe goes to the member that was not heard for longest, which finds a dead one sooner in a small cluster.
    // The others keep the order, because a member that sends but does not receive is heard all the time.
    if (probeCount % 2 == 0 && probeOrder.size() <= maxMembersForUnheardFirst)
        return *std::ranges::min_element(probeOrder, {}, [&](const auto& node) { return members.at(node).heard; });
    if (probeIndex >= probeOrder.size())
        probeIndex = 0;
    return probeOrder[probeIndex++];
}

void failure_detector::implementation::startProbe(monotonic_time now)
{
    const auto interval = settings.probeInterval * (1 + healthScore);
    // The spread keeps members that started together from probing in step.
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
    // Repeated directly as well: most probes fail because one datagram was lost, and each false suspicion costs gossip among all
    // members. The pause between the two repetitions outlasts short bursts of loss.
    send(packet_kind::ping, current->sequence, current->target);
    if (current->stage == 2)
        return;
    const auto helpers = randomMembers(settings.indirectProbes, current->target);
    current->helpers = helpers.size();
    for (const auto& helper : helpers)
        send(packet_kind::ping_request, current->sequence, helper, current->target);
}

void failure_detector::implementation::failProbe(monotonic_time now)
{
    const auto failed = *std::exchange(current, std::nullopt);
    const unsigned score = healthScore;
    const std::size_t silent = failed.helpers - std::min(failed.helpers, failed.helpersHeard.size());
    const auto penalty = static_cast<unsigned>(failed.helpers == 0 ? 1 : silent);
    healthScore = std::min(healthScore + penalty, maxHealthScore);
    // When no helper reacts either, this process is more likely the one that is cut off.
    if (failed.helpers > 0 && failed.helpersHeard.empty() && score < silentHelperTolerance)
        return;
    auto& record = members.at(failed.target);
    if (record.info.state != member_state::alive)
        return;
    suspect(now, record, score);
    record.nextNotice = now;
}

/// Tells members suspected here so, that they can refute without waiting for gossip.
void failure_detector::implementation::noticeSuspects(monotonic_time now)
{
    std::vector<node_id> due;
    std::ranges::copy_if(suspects, std::back_inserter(due), [&](const auto& node) {
        const auto& next = members.at(node).nextNotice;
        return next && *next <= now;
    });
    std::vector<node_id> chosen;
    std::ranges::sample(due, std::back_inserter(chosen), maxNoticesPerTick, random);
    for (const auto& node : chosen) {
        members.at(node).nextNotice = now + 2 * settings.probeTimeout;
        ping(node);
    }
}

void failure_detector::implementation::probeDead(duration elapsed)
{
    if (dead.empty())
        return;
    // The live members share the work, so that neither a lost failure domain nor a lost vm of many causes a storm of probes.
    const double perSecond = deadProbeFactor * static_cast<double>(dead.size()) / static_cast<double>(liveMembers())
        / std::chrono::duration<double>(settings.deadProbeInterval).count();
    deadProbeCredit += std::min(perSecond, maxDeadProbesPerSecond) * std::chrono::duration<double>(elapsed).count();
    if (deadProbeCredit < 1)
        return;
    deadProbeCredit -= 1;
    ping(*std::next(dead.begin(), std::uniform_int_distribution<std::ptrdiff_t>(0, std::ssize(dead) - 1)(random)));
}

/// One per tick: what the first of them tell by gossip makes most of the others unnecessary.
void failure_detector::implementation::recheckDead()
{
    std::erase_if(recheck, [&](const auto& node) { return !dead.contains(node); });
    if (recheck.empty())
        return;
    const auto chosen = std::next(recheck.begin(), std::uniform_int_distribution<std::ptrdiff_t>(0, std::ssize(recheck) - 1)(random));
    ping(*chosen);
    recheck.erase(chosen);
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

/// Repeats the state exchange while it brings news, because parts of it may be lost and members that start together know little;
/// later repeats it seldom, which repairs views that differ although no gossip is due.
void failure_detector::implementation::settle(monotonic_time now)
{
    // A member whose seeds joined it before they answered has not joined, but knows whom to ask.
    if (probeOrder.empty() || nextPull > now)
        return;
    const bool incomplete = exchangeReceived < exchangeExpected;
    settled = settled || pulls >= maxPulls || (pulls >= minPulls && !incomplete && learned == 0);
    ++pulls;
    for (const auto& node : randomMembers(1, {}))
        pull(now, node);
}

void failure_detector::implementation::pull(monotonic_time now, const node_id& from)
{
    if (settled) {
        // The spread keeps members that started together from exchanging at the same time.
        const duration longInterval = std::max<duration>(minLongPullInterval, probeOrder.size() * pullIntervalPerMember);
        const duration interval = std::exchange(settledCheckDone, true) ? longInterval : firstCheckInterval;
        nextPull = now + interval / 2 + duration(std::uniform_int_distribution<duration::rep>(0, interval.count())(random));
    } else {
        nextPull = now + settleInterval;
    }
    learned = 0;
    exchangeExpected = 0;
    exchangeReceived = 0;
    send(packet_kind::join, ++lastSequence, from);
}

/// Fetches the view of a member that may belong to a group apart.
void failure_detector::implementation::pullFromStranger(monotonic_time now, const node_id& from)
{
    if (nextStrangerPull > now)
        return;
    nextStrangerPull = now + strangerPullInterval;
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
