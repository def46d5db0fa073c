#include "detector.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>

namespace carawaylink {
namespace {

bool isLive(member_state state)
{
    return state == member_state::alive || state == member_state::suspect;
}

/// Precedence of updates about one incarnation: at the same refutation, dead outranks suspect and suspect outranks alive. A departure is
/// final.
auto rankOf(const member_update& update)
{
    return std::tuple(update.state == member_state::left, update.refutation, update.state);
}

/// Merges a member's own attributes within one incarnation. The drain state and the configuration version only move forward.
bool mergeAttributes(member_update& known, const member_update& update)
{
    const auto before = std::tuple(known.draining, known.config, known.domain, known.region, known.httpAddress, known.capacity);
    known.draining = known.draining || update.draining;
    known.config = std::max(known.config, update.config);
    const auto take = [](auto& to, const auto& from) {
        if (from != std::decay_t<decltype(from)> {})
            to = from;
    };
    take(known.domain, update.domain);
    take(known.region, update.region);
    take(known.httpAddress, update.httpAddress);
    take(known.capacity, update.capacity);
    return before != std::tuple(known.draining, known.config, known.domain, known.region, known.httpAddress, known.capacity);
}

} // namespace

duration failure_detector::implementation::suspicionTime(unsigned score) const
{
    // A refutation needs about log(n) rounds of gossip to reach all members before the suspicion expires.
    const double scale = std::max(1.0, std::log10(static_cast<double>(liveMembers()))) * (1 + score);
    return duration(static_cast<duration::rep>(static_cast<double>(settings.suspicionTimeout.count()) * scale));
}

void failure_detector::implementation::apply(monotonic_time now, const member_update& update, update_source source)
{
    if (update.node == self.node) {
        applyAboutSelf(update);
        return;
    }
    const auto found = members.find(update.node);
    if (found == members.end()) {
        // The death of an unknown member is not recorded; otherwise new members would keep reintroducing removed members.
        if (isLive(update.state) && !isCompact(update))
            addMember(now, update, source);
        return;
    }
    auto& record = found->second;
    auto& known = record.info;
    if (update.run < known.run)
        return;
    if (update.run > known.run) {
        if (isLive(update.state) && isCompact(update))
            return;
        const auto before = known.state;
        known = update;
        record = { known, now, {}, false, now + suspicionTime(healthScore), {} };
        updateStateSets(known);
        if (isLive(update.state) && !isLive(before))
            addToProbeOrder(update.node);
        else if (!isLive(update.state) && isLive(before))
            removeFromProbeOrder(update.node);
        gossip.add(known);
        actions.push_back(member_changed { known, before });
        return;
    }
    if (rankOf(update) <= rankOf(known)) {
        // Other members still report it as alive: after a partition, it does not know yet that it has to refute.
        if (source == update_source::exchange && known.state == member_state::dead && isLive(update.state))
            deadReportedAlive.insert(update.node);
        // A change of attributes raises the refutation, which may have become known by a datagram without the attributes.
        const bool isSameDescription = update.refutation == known.refutation && !isCompact(update);
        if ((source == update_source::direct || isSameDescription) && mergeAttributes(known, update)) {
            gossip.add(known);
            actions.push_back(member_changed { known, known.state });
        }
        return;
    }
    const bool refutationRose = update.refutation > known.refutation;
    known.refutation = std::max(known.refutation, update.refutation);
    const bool changed = mergeAttributes(known, update);
    switch (update.state) {
    case member_state::alive:
        if (known.state != member_state::alive)
            changeState(now, record, member_state::alive);
        else if (refutationRose || changed) {
            gossip.add(known);
            if (changed)
                actions.push_back(member_changed { known, known.state });
        }
        break;
    case member_state::suspect:
        suspect(now, record, healthScore);
        break;
    case member_state::dead:
        // A member that was not suspected here, or from which a datagram arrived within the suspicion timeout, may refute first: the
        // report may come from a member that is partly cut off, or from before the end of a partition.
        if (known.state == member_state::alive || (known.state == member_state::suspect && refutationRose)) {
            suspect(now, record, healthScore);
            record.nextNotification = now;
        } else if (known.state != member_state::suspect || record.lastHeard + settings.suspicionTimeout <= now) {
            changeState(now, record, member_state::dead);
        }
        break;
    case member_state::left:
        changeState(now, record, member_state::left);
        break;
    }
}

void failure_detector::implementation::applyAboutSelf(const member_update& update)
{
    if (update.run < self.run) {
        if (!gossip.contains(self.node))
            gossip.add(self);
        return;
    }
    if (update.run > self.run && settings.renewsIncarnation) {
        self.run = incarnation(update.run.value + 1);
        announceSelf();
        return;
    }
    if (update.run > self.run || self.state == member_state::left || update.refutation < self.refutation)
        return;
    if (update.state == member_state::alive) {
        self.refutation = update.refutation;
        return;
    }
    self.refutation = update.refutation + 1;
    healthScore = std::min(healthScore + 1, maxHealthScore);
    announceSelf();
}

void failure_detector::implementation::announceSelf()
{
    gossip.add(self);
    pushDue = true;
}

void failure_detector::implementation::addMember(monotonic_time now, const member_update& update, update_source source)
{
    members[update.node] = { update, now, {}, false, now + suspicionTime(healthScore), {} };
    updateStateSets(update);
    seeds.remove(update.node);
    addToProbeOrder(update.node);
    ++membersLearned;
    // Other members already know what a new member learns; gossip about all members would fill its datagrams for minutes.
    if (initialSyncDone || source == update_source::direct)
        gossip.add(update);
    actions.push_back(member_changed { update, member_state::dead });
}

void failure_detector::implementation::addToProbeOrder(const node_id& node)
{
    const auto place = std::uniform_int_distribution<std::size_t>(0, probeOrder.size())(random);
    probeOrder.insert(probeOrder.begin() + static_cast<std::ptrdiff_t>(place), node);
    if (place < probeIndex)
        ++probeIndex;
}

void failure_detector::implementation::removeFromProbeOrder(const node_id& node)
{
    const auto found = std::ranges::find(probeOrder, node);
    if (found == probeOrder.end())
        return;
    // Without this correction, the member after the removed one would be skipped in this cycle.
    if (static_cast<std::size_t>(found - probeOrder.begin()) < probeIndex)
        --probeIndex;
    probeOrder.erase(found);
    if (current && current->target == node)
        current.reset();
}

void failure_detector::implementation::updateStateSets(const member_update& member)
{
    const auto place = [&](std::set<node_id>& nodes, member_state state) {
        if (member.state == state)
            nodes.insert(member.node);
        else
            nodes.erase(member.node);
    };
    place(suspects, member_state::suspect);
    place(dead, member_state::dead);
}

void failure_detector::implementation::changeState(monotonic_time now, member_record& record, member_state state)
{
    const auto before = record.info.state;
    record.info.state = state;
    record.stateSince = now;
    updateStateSets(record.info);
    record.nextNotification.reset();
    // A partition may have ended. Once gossip has spread, an exchange shows which of the other dead members are dead only in this view;
    // without it, a few such views persisted for minutes with 750 members.
    if (before == member_state::dead && !dead.empty() && initialSyncDone && nextRecoveryPull <= now) {
        nextRecoveryPull = now + std::chrono::seconds(60);
        const auto delay = std::chrono::milliseconds(std::uniform_int_distribution<int>(5'000, 10'000)(random));
        nextPull = std::min<monotonic_time>(nextPull, now + delay);
    }
    if (isLive(before) && !isLive(state)) {
        removeFromProbeOrder(record.info.node);
    } else if (!isLive(before) && isLive(state)) {
        addToProbeOrder(record.info.node);
        // The member may have removed this process in the meantime.
        record.acknowledgedDescription = false;
    }
    gossip.add(record.info);
    if (!isLive(state))
        pushDue = true;
    actions.push_back(member_changed { record.info, before });
}

void failure_detector::implementation::suspect(monotonic_time now, member_record& record, unsigned score)
{
    const auto time = suspicionTime(score);
    record.suspectUntil = now + time;
    changeState(now, record, member_state::suspect);
    // Gossip may deliver the suspicion early and the refutation late: healthy members were declared dead 5 times in 40 runs of 10 minutes
    // when one of 20 nodes lost most inbound datagrams. Members whose suspicion is still open after three quarters of the timeout
    // therefore notify the suspect themselves.
    record.nextNotification = now + time * 3 / 4;
}

void failure_detector::implementation::endSuspicions(monotonic_time now)
{
    std::vector<node_id> ended;
    std::ranges::copy_if(suspects, std::back_inserter(ended), [&](const auto& node) { return members.at(node).suspectUntil <= now; });
    for (const auto& node : ended)
        changeState(now, members.at(node), member_state::dead);
}

void failure_detector::implementation::removeExpiredMembers(monotonic_time now)
{
    std::erase_if(members, [&](const auto& item) {
        const bool old = !isLive(item.second.info.state) && item.second.stateSince + settings.deadMemberRetention < now;
        if (old) {
            gossip.remove(item.first);
            dead.erase(item.first);
            deadReportedAlive.erase(item.first);
        }
        return old;
    });
}

} // namespace carawaylink
