#include "rollout/decider.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace carawaylink::rollout {

namespace {

// Fractions of the time from the order to its deadline. A version may turn bad within the first half.
constexpr double testedUntil = 0.5;
constexpr double testedUntilWithLittleEvidence = 0.6;
constexpr double finishingFrom = 0.7;
// Left at the deadline for the record of completion and its repetitions.
constexpr double reserveBeforeDeadline = 0.1;
constexpr auto minReserve = std::chrono::milliseconds(400);
constexpr auto maxReserve = std::chrono::milliseconds(1500);
// A new owner tests at least this long, and widens at least this long, where the deadline permits.
constexpr auto minTestTime = std::chrono::milliseconds(1200);
constexpr auto minWideningTime = std::chrono::milliseconds(800);
// All nodes know within this time that only the target is used.
constexpr auto minFinishingTime = std::chrono::milliseconds(600);
// A target that seems slow is judged by requests that are sent after the first of these times, at the second one at the earliest.
constexpr auto warmUpTime = std::chrono::milliseconds(1200);
constexpr auto slownessTime = std::chrono::milliseconds(2000);
constexpr std::uint32_t minFreshSamples = 6;
// With fewer samples, the suspicion is decided by what there is after this time.
constexpr auto maxSuspicionTime = std::chrono::milliseconds(3500);
// Time for which a target must seem slow while it gets a great share.
constexpr auto slownessTimeInUse = std::chrono::milliseconds(700);
constexpr std::uint32_t enoughTargetRequests = 30;
// An endpoint may be missing for a moment while the registry is read anew.
constexpr auto missingTime = std::chrono::milliseconds(1000);
// Further endpoints of the target may register a little later than the first.
constexpr auto gatheringTime = std::chrono::milliseconds(300);
// Without a confirmation for this long, or for half of the time that a roll-back may take, another owner may have decided otherwise.
constexpr auto maxConfirmationAge = std::chrono::milliseconds(2000);
constexpr auto renewalInterval = std::chrono::milliseconds(700);
// Of records that only reserve more exposure.
constexpr auto minReservationInterval = std::chrono::milliseconds(200);
constexpr double wideningSteps[] = { 0.25, 0.5, 0.75 };
constexpr std::size_t minCanaries = 3;
constexpr std::size_t maxCanaries = 8;
constexpr std::size_t oldEndpointsPerCanary = 8;

std::string describe(const fault& found)
{
    std::ostringstream text;
    text << faultKindNames.name(found.kind) << ": " << found.target << " at the target, " << found.old << " at the others, "
         << found.samples << " samples";
    return text.str();
}

bool hasAnswered(const evidence& collected)
{
    const auto target = collected.total(true);
    return target.ended > 0 || target.firstEvent.samples > 0;
}

} // namespace

decider::decider(const order& given, const exposure_bound& bound, std::string self, monotonic_time orderedAt, std::optional<status> written,
    monotonic_time now)
    : m_order(given)
    , m_bound(bound)
    , m_self(std::move(self))
    , m_orderedAt(orderedAt)
    , m_beganAt(now)
    , m_inherited(written.value_or(status {}))
    , m_stage(m_inherited.stage)
    , m_reason(m_inherited.reason)
    , m_stageSince(now)
{
    // An inherited test starts anew, because it needs the claim of this owner.
    if (m_stage == stage::testing)
        m_stage = stage::waiting;
    if (written && isFinal(written->stage)) {
        m_confirmed = written;
        m_confirmedAt = now;
    }
}

void decider::enter(rollout::stage next, std::string reason, monotonic_time now)
{
    m_stage = next;
    m_reason = std::move(reason);
    m_stageSince = now;
    // A suspicion of one stage is judged by the rules of that stage.
    m_suspicion.reset();
}

void decider::step(const fleet_view& view, monotonic_time now)
{
    m_view = view;
    countRequests(now);
    if (isFinal(m_stage))
        return;
    if (m_order.isWithdrawn) {
        withdraw(now);
        return;
    }
    if (!m_order.fault.empty()) {
        enter(stage::reverted, m_order.fault, now);
        return;
    }
    stepOpen(view, now);
}

void decider::withdraw(monotonic_time now)
{
    m_order.isWithdrawn = true;
    if (isFinal(m_stage))
        return;
    const bool isAlone = m_view.oldEndpoints == 0 && m_view.targetEndpoints > 0;
    enter(isAlone ? stage::completed : stage::reverted, "the operator withdrew the order", now);
}

void decider::countRequests(monotonic_time now)
{
    m_requestsAt.emplace_back(now, requests());
    while (m_requestsAt.size() > 2 && now - m_requestsAt[1].first >= std::chrono::seconds(1))
        m_requestsAt.pop_front();
}

evidence decider::allEvidence() const
{
    auto total = m_inherited.collected;
    total.add(m_view.total);
    return total;
}

// An endpoint that has just started may be slow for a moment, and a machine may be paused for one. The totals include the first seconds of
// the target, so only a test, which asks for fresh times, may judge slowness by them.
std::optional<fault> decider::checkFault(const fleet_view& view, monotonic_time now)
{
    const auto total = allEvidence();
    const auto inTotal = findFault(total);
    const auto inRecent = findFault(view.recent);
    for (const auto& found : { inTotal, inRecent }) {
        if (found && found->kind == fault_kind::failures)
            return found;
    }
    const bool usesTotal = m_stage == stage::testing && !inRecent && !m_isCleared;
    return checkSlowness(usesTotal ? inTotal : inRecent, view, now);
}

std::optional<fault> decider::checkSlowness(const std::optional<fault>& found, const fleet_view& view, monotonic_time now)
{
    if (!found && !(m_suspicion && m_suspicion->hasFresh)) {
        m_suspicion.reset();
        return std::nullopt;
    }
    if (!m_suspicion)
        m_suspicion = { now, *found, false };
    else if (found)
        m_suspicion->found = *found;
    const auto age = now - m_suspicion->since;
    if (m_stage != stage::testing)
        return found && age >= slownessTimeInUse ? found : std::nullopt;
    if (!m_suspicion->hasFresh) {
        m_suspicion->hasFresh = age >= warmUpTime;
        m_freshStarts += m_suspicion->hasFresh ? 1 : 0;
        return std::nullopt;
    }
    const auto fresh = slowdownOf(m_suspicion->found, view.fresh);
    const bool isKnown = fresh.samples >= minFreshSamples || (age >= maxSuspicionTime && fresh.samples > 0);
    if (age < slownessTime || (!isKnown && age < maxSuspicionTime))
        return std::nullopt;
    const auto suspected = m_suspicion->found;
    m_suspicion.reset();
    if (!isKnown || !fresh.isAccepted())
        return suspected;
    m_isCleared = true;
    return std::nullopt;
}

void decider::stepOpen(const fleet_view& view, monotonic_time now)
{
    const auto total = allEvidence();
    if (const auto found = checkFault(view, now)) {
        m_fault = found;
        enter(stage::reverted, describe(*found), now);
        return;
    }
    if (view.oldEndpoints > 0 || view.targetEndpoints == 0)
        m_withoutOldSince.reset();
    else if (!m_withoutOldSince)
        m_withoutOldSince = now;
    if (m_withoutOldSince && now - *m_withoutOldSince >= missingTime) {
        enter(stage::completed, "no endpoint of another version is left", now);
        return;
    }
    if (now >= lastCompletion() && m_stage != stage::finishing) {
        const bool isSilent = total.total(true).sent > 0 && !hasAnswered(total);
        if (view.targetEndpoints == 0 || isSilent) {
            const std::string what = isSilent ? "has answered" : "is listed";
            enter(stage::reverted, "no endpoint of version " + m_order.target + ' ' + what + "; start them and repeat the order", now);
            return;
        }
    }
    switch (m_stage) {
    case stage::waiting:
        m_reason = view.targetEndpoints == 0 ? "waits for an endpoint of version " + m_order.target : "waits for the store";
        if (view.targetEndpoints == 0)
            m_stageSince = now;
        if (m_confirmed && view.targetEndpoints > 0 && now - m_stageSince >= gatheringTime)
            enter(stage::testing, "compares the target with the others", now);
        break;
    case stage::testing:
        stepTesting(now);
        break;
    case stage::widening:
        if (now >= std::min(std::max(after(finishingFrom), m_stageSince + minWideningTime), lastCompletion() - minFinishingTime))
            enter(stage::finishing, "waits for requests at the others to end", now);
        break;
    case stage::finishing:
        if ((view.runningOld == 0 && now - m_stageSince >= minFinishingTime) || now >= std::max(lastCompletion(), m_beganAt + minReserve))
            enter(stage::completed, view.runningOld == 0 ? "no request runs at the others" : "the deadline is near", now);
        break;
    case stage::completed:
    case stage::reverted:
        break;
    }
}

void decider::stepTesting(monotonic_time now)
{
    const auto total = allEvidence();
    const auto target = total.total(true);
    const auto until = after(target.ended >= enoughTargetRequests ? testedUntil : testedUntilWithLittleEvidence);
    const auto latest = std::max(lastCompletion() - minFinishingTime - minWideningTime, m_beganAt + minTestTime);
    const bool isTested = now >= std::min(std::max(until, m_stageSince + minTestTime), latest);
    if (m_suspicion && now < latest)
        return;
    // Without any request there is nothing to compare, and nothing is at risk.
    if (isTested && (hasAnswered(total) || target.sent == 0))
        enter(stage::widening, "the target is not worse", now);
}

monotonic_time decider::after(double fraction) const
{
    return m_orderedAt + std::chrono::duration_cast<duration>(m_order.time * fraction);
}

monotonic_time decider::lastCompletion() const
{
    const auto reserve = std::chrono::duration_cast<duration>(m_order.time * reserveBeforeDeadline);
    return m_orderedAt + m_order.time - std::clamp<duration>(reserve, minReserve, maxReserve);
}

double decider::wideningShare(monotonic_time now) const
{
    const auto end = std::max(after(finishingFrom), m_stageSince + minWideningTime);
    const auto step = (end - m_stageSince) / static_cast<std::int64_t>(std::size(wideningSteps));
    const auto index = step > duration {} ? static_cast<std::size_t>((now - m_stageSince) / step) : std::size(wideningSteps);
    return wideningSteps[std::min(index, std::size(wideningSteps) - 1)];
}

std::size_t decider::canaryCount() const
{
    const auto wanted = (m_view.testedOldEndpoints + oldEndpointsPerCanary - 1) / oldEndpointsPerCanary;
    return std::min(std::clamp(wanted, minCanaries, maxCanaries), m_view.testedTargetEndpoints);
}

// Each canary gets as many requests as each of the others.
double decider::equalShare() const
{
    const auto canaries = static_cast<double>(canaryCount());
    return canaries / std::max(canaries + static_cast<double>(m_view.testedOldEndpoints), 1.0);
}

std::uint64_t decider::requests() const
{
    return m_inherited.requests + m_view.requests;
}

// What the owner before had reserved counts as sent.
std::uint64_t decider::targetRequests() const
{
    return std::max(m_inherited.reserved, m_inherited.targetRequests) + m_view.targetRequests;
}

usage_plan decider::plan(monotonic_time now) const
{
    usage_plan result;
    const bool isConfirmed = m_confirmed && now - m_confirmedAt <= std::min<duration>(maxConfirmationAge, m_bound.rollback / 2);
    switch (m_stage) {
    case stage::waiting:
    case stage::reverted:
        return result;
    case stage::testing: {
        result.usesTarget = isConfirmed;
        result.share = equalShare();
        const auto before = std::max(m_inherited.reserved, m_inherited.targetRequests);
        const auto reserved = m_confirmed ? m_confirmed->reserved : 0;
        result.maxTargetRequests = reserved > before ? reserved - before : 0;
        result.canaries = canaryCount();
        return result;
    }
    case stage::widening:
        result.usesTarget = isConfirmed && m_confirmed->stage == m_stage;
        result.share = wideningShare(now);
        return result;
    case stage::finishing:
        // Its stage was confirmed before by this owner or the one before.
        result.usesTarget = m_confirmed.has_value();
        result.usesOld = !result.usesTarget;
        result.share = 1;
        return result;
    case stage::completed:
        // Nothing else may be left to use, so that it does not depend on the confirmation.
        result.usesTarget = true;
        result.usesOld = false;
        result.share = 1;
        return result;
    }
    return result;
}

status decider::current(monotonic_time now) const
{
    status record;
    record.order = m_order.number;
    record.target = m_order.target;
    record.stage = m_stage;
    record.decider = m_self;
    record.reason = m_reason;
    record.elapsed = now - m_orderedAt;
    record.time = m_order.time;
    record.requests = requests();
    record.targetRequests = targetRequests();
    record.reserved = m_inherited.reserved;
    record.share = plan(now).share;
    record.oldVersions = m_view.oldVersions.empty() ? m_inherited.oldVersions : m_view.oldVersions;
    record.excluded = m_view.excluded.empty() ? m_inherited.excluded : m_view.excluded;
    record.collected = m_inherited.collected;
    record.collected.add(m_view.total);
    if (m_stage == stage::waiting || m_stage == stage::testing) {
        const auto recent = m_requestsAt.empty() ? 0 : m_requestsAt.back().second - m_requestsAt.front().second;
        const auto confirmed = m_confirmed ? m_confirmed->reserved : m_inherited.reserved;
        record.reserved = std::max(confirmed, nextReservation(m_bound, requests(), targetRequests(), recent));
    }
    return record;
}

std::optional<status> decider::recordToWrite(monotonic_time now) const
{
    if (isConfirmedFinal())
        return std::nullopt;
    auto record = current(now);
    if (!m_confirmed || m_confirmed->stage != m_stage)
        return record;
    const auto age = now - m_confirmedAt;
    if (age >= renewalInterval)
        return record;
    const bool isUsedUp = m_stage == stage::testing && targetRequests() >= m_confirmed->reserved;
    if (isUsedUp && record.reserved > m_confirmed->reserved && age >= minReservationInterval)
        return record;
    return std::nullopt;
}

void decider::confirm(const status& record, monotonic_time now)
{
    m_confirmed = record;
    m_confirmedAt = now;
}

} // namespace carawaylink::rollout
