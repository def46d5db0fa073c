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

/// Order of updates about one run: at the same refutation dead outranks suspect, and suspect outranks alive. A departure is final.
auto rankOf(const member_update& update)
{
    return std::tuple(update.state == member_state::left, update.refutation, update.state);
}

/// Takes over what a member says about itself within one run. Draining and configuration only move forward.
bool mergeAttributes(member_update& known, const member_update& update)
{
    const auto before = std::tuple(known.draining, known.config, known.domain, known.region, known.httpAddress);
    known.draining = known.draining || update.draining;
    known.config = std::max(known.config, update.config);
    const auto take = [](auto& to, const auto& from) {
        if (from != std::decay_t<decltype(from)> {})
            to = from;
    };
    take(known.domain, update.domain);
    take(known.region, update.region);
    take(known.httpAddress, update.httpAddress);
    return before != std::tuple(known.draining, known.config, known.domain, known.region, known.httpAddress);
}

} // namespace

duration failure_detector::implementation::suspicionTime(unsigned score) const
{
    // A refutation needs about log(n) rounds of gossip to arrive everywhere before the suspicion ends.
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
        // Death of an unknown member is not recorded, else forgotten members would return through newcomers for ever.
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
        index(known);
        if (isLive(update.state) && !isLive(before))
            addToProbeOrder(update.node);
        else if (!isLive(update.state) && isLive(before))
            removeFromProbeOrder(update.node);
        gossip.add(known);
        actions.push_back(member_changed { known, before });
        return;
    }
    if (rankOf(update) <= rankOf(known)) {
        // Others still have it for alive: after a partition it does not know yet that it has to refute.
        if (source == update_source::exchange && known.state == member_state::dead && isLive(update.state))
            recheck.insert(update.node);
        if (source == update_source::direct && mergeAttributes(known, update))
            actions.push_back(member_changed { known, known.state });
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
        // A member that was not suspected here, or was heard within the suspicion time, gets the chance to refute first: the
        // report may come from a member that is partly cut off, or from before the end of a partition.
        if (known.state == member_state::alive || (known.state == member_state::suspect && refutationRose)) {
            suspect(now, record, healthScore);
            record.nextNotice = now;
        } else if (known.state != member_state::suspect || record.heard + settings.suspicionTimeout <= now) {
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
    index(update);
    seeds.remove(update.node);
    addToProbeOrder(update.node);
    ++learned;
    // What a newcomer learns is known to others already; gossip about all members would fill its datagrams for minutes.
    if (settled || source == update_source::direct)
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
    // Without the correction the member after the removed one would be skipped in this cycle.
    if (static_cast<std::size_t>(found - probeOrder.begin()) < probeIndex)
        --probeIndex;
    probeOrder.erase(found);
    if (current && current->target == node)
        current.reset();
}

void failure_detector::implementation::index(const member_update& member)
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
    index(record.info);
    record.nextNotice.reset();
    if (isLive(before) && !isLive(state)) {
        removeFromProbeOrder(record.info.node);
    } else if (!isLive(before) && isLive(state)) {
        addToProbeOrder(record.info.node);
        // It may have forgotten this process meanwhile.
        record.knowsSelf = false;
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
    // Gossip may bring the suspicion early and the refutation late: healthy members were declared dead 5 times in 40 runs of 10
    // minutes with one half-deaf node among 20. Members that are still in doubt near the end ask the suspect themselves.
    record.nextNotice = now + time * 3 / 4;
}

void failure_detector::implementation::endSuspicions(monotonic_time now)
{
    std::vector<node_id> ended;
    std::ranges::copy_if(suspects, std::back_inserter(ended), [&](const auto& node) { return members.at(node).suspectUntil <= now; });
    for (const auto& node : ended)
        changeState(now, members.at(node), member_state::dead);
}

void failure_detector::implementation::forgetOldMembers(monotonic_time now)
{
    std::erase_if(members, [&](const auto& item) {
        const bool old = !isLive(item.second.info.state) && item.second.stateSince + settings.forgetAfter < now;
        if (old) {
            gossip.remove(item.first);
            dead.erase(item.first);
            recheck.erase(item.first);
        }
        return old;
    });
}

} // namespace carawaylink
