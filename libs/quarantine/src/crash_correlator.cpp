#include "quarantine/crash_correlator.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace carawaylink::quarantine {

namespace {

// Reports of one endpoint within this time are about the same crash.
constexpr auto sameCrashTime = std::chrono::seconds(1);
// Endpoints that end together have a common cause other than the prompts that they were reading.
constexpr auto separateCrashTime = std::chrono::milliseconds(150);
constexpr auto evidenceTime = std::chrono::seconds(60);
// Time for the nodes to report answers on a suspected part.
constexpr auto answerReportTime = std::chrono::milliseconds(150);
constexpr unsigned crashesToSuspect = 2;
constexpr unsigned crashesToQuarantine = 3;
// A part that was quarantined before.
constexpr unsigned crashesToQuarantineAgain = 1;
// The cause stands in at least one of so many crashes.
constexpr unsigned maxUnrelatedCrashRatio = 4;
constexpr std::size_t maxCrashes = 64;
// Above the parts of all requests that an endpoint reads at once, so that those of the cause are among them.
constexpr std::size_t maxPartsPerCrash = 512;

bool contains(const std::vector<part_hash>& parts, part_hash part)
{
    return std::ranges::find(parts, part) != parts.end();
}

unsigned crashesNeeded(const quarantine_list& known, part_hash part, unsigned usual)
{
    return known.timesOf(part) > 0 ? crashesToQuarantineAgain : usual;
}

} // namespace

void crash_correlator::addCrash(const endpoint_crash& crash, monotonic_time endedAt, const quarantine_list& known, monotonic_time now)
{
    const auto isInForce = [&](part_hash part) { return known.remaining(part, now).has_value(); };
    if (std::ranges::any_of(crash.parts, isInForce) || std::ranges::any_of(crash.requests, isInForce))
        return;
    auto& service = m_services[crash.service];
    const auto isSame = [&](const crash_record& entry) {
        return entry.replica == crash.replica && entry.time < endedAt + sameCrashTime && endedAt < entry.time + sameCrashTime;
    };
    auto record = std::ranges::find_if(service.crashes, isSame);
    if (record == service.crashes.end()) {
        if (service.crashes.size() >= maxCrashes)
            service.crashes.pop_front();
        const auto position = std::ranges::upper_bound(service.crashes, endedAt, {}, &crash_record::time);
        record = service.crashes.insert(position, { crash.replica, endedAt, {} });
    }
    for (std::size_t i = 0; i < crash.parts.size(); ++i)
        addPart(service, *record, crash.parts[i], i + 1);
    for (const auto request : crash.requests)
        addPart(service, *record, request, 0);
    service.hasChanged = true;
}

void crash_correlator::addPart(service_state& service, crash_record& record, part_hash part, std::size_t depth)
{
    if (record.parts.size() >= maxPartsPerCrash)
        return;
    auto& state = service.parts[part];
    state.depth = std::max(state.depth, depth);
    if (!contains(record.parts, part))
        record.parts.push_back(part);
}

void crash_correlator::addAnswer(const suspected_part& answered, monotonic_time answeredAt)
{
    const auto service = m_services.find(answered.service);
    if (service == m_services.end())
        return;
    const auto part = service->second.parts.find(answered.part);
    if (part == service->second.parts.end() || (part->second.lastAnswer && *part->second.lastAnswer >= answeredAt))
        return;
    part->second.lastAnswer = answeredAt;
    // The node that answered no longer watches the part; it has to be asked again if crashes remain.
    part->second.suspectedAt.reset();
    service->second.hasChanged = true;
}

void crash_correlator::explainCrashes(part_hash part)
{
    for (auto& [hash, service] : m_services) {
        if (service.parts.contains(part))
            removeExplained(service, part);
    }
}

void crash_correlator::suspectAnew()
{
    for (auto& [hash, service] : m_services)
        suspectAnew(service);
}

std::vector<suspected_part> crash_correlator::takeSuspects(const quarantine_list& known, monotonic_time now)
{
    std::vector<suspected_part> suspects;
    for (auto& [hash, service] : m_services) {
        if (!std::exchange(service.hasChanged, false))
            continue;
        expire(service, now);
        for (const auto& [part, crashes] : countCrashes(service)) {
            auto& state = service.parts.at(part);
            if (state.suspectedAt || known.remaining(part, now) || crashes.count < crashesNeeded(known, part, crashesToSuspect))
                continue;
            state.suspectedAt = now;
            suspects.push_back({ hash, part });
        }
    }
    return suspects;
}

std::vector<quarantine_decision> crash_correlator::takeDecisions(quarantine_list& known, monotonic_time now)
{
    std::vector<quarantine_decision> decisions;
    for (auto& [hash, service] : m_services) {
        while (const auto cause = findCause(service, known, now)) {
            const auto all = crashesSince(service, cause->crashes.first);
            decisions.push_back({ known.quarantine(cause->part, now), hash, cause->crashes.count, all, now - cause->crashes.first });
            removeExplained(service, cause->part);
        }
    }
    return decisions;
}

// Of several candidates, the part whose last answer is oldest. Among parts without any, the one that stands later in the prompt: the other
// requests with the parts before it go on to tell whether those crash endpoints as well. A request comes last, since a part that explains
// its crashes would crash endpoints in other requests too.
std::optional<crash_correlator::candidate> crash_correlator::findCause(
    const service_state& service, const quarantine_list& known, monotonic_time now)
{
    const auto isReported
        = [now](const auto& entry) { return entry.second.suspectedAt && now - *entry.second.suspectedAt >= answerReportTime; };
    if (!known.hasRoom(now) || std::ranges::none_of(service.parts, isReported))
        return std::nullopt;
    std::optional<candidate> best;
    for (const auto& [part, crashes] : countCrashes(service)) {
        const auto state = *service.parts.find(part);
        if (!isReported(state) || known.remaining(part, now) || crashes.count < crashesNeeded(known, part, crashesToQuarantine)
            || crashes.count * maxUnrelatedCrashRatio < crashesSince(service, crashes.first))
            continue;
        const candidate found { part, crashes, state.second.lastAnswer.value_or(monotonic_time::min()), state.second.depth };
        if (!best || found.isLikelierThan(*best))
            best = found;
    }
    return best;
}

bool crash_correlator::candidate::isLikelierThan(const candidate& other) const
{
    if (lastAnswer != other.lastAnswer)
        return lastAnswer < other.lastAnswer;
    return std::tie(depth, crashes.count) > std::tie(other.depth, other.crashes.count);
}

std::map<part_hash, crash_correlator::crash_count> crash_correlator::countCrashes(const service_state& service)
{
    std::map<part_hash, crash_count> result;
    for (const auto& crash : service.crashes) {
        for (const auto part : crash.parts) {
            const auto& state = service.parts.at(part);
            if (!state.lastAnswer || crash.time > *state.lastAnswer)
                result[part].add(crash.time, state.separation());
        }
    }
    return result;
}

unsigned crash_correlator::crashesSince(const service_state& service, monotonic_time since)
{
    crash_count all;
    for (const auto& crash : service.crashes) {
        if (crash.time >= since)
            all.add(crash.time, separateCrashTime);
    }
    return all.count;
}

// Endpoints that end together may have ended with any request that many callers send, but such a request was answered before.
duration crash_correlator::part_state::separation() const
{
    return depth == 0 && !lastAnswer ? duration {} : duration(separateCrashTime);
}

void crash_correlator::crash_count::add(monotonic_time time, duration separation)
{
    if (count > 0 && time - last < separation)
        return;
    if (count == 0)
        first = time;
    last = time;
    ++count;
}

void crash_correlator::removeExplained(service_state& service, part_hash part)
{
    std::erase_if(service.crashes, [part](const crash_record& crash) { return contains(crash.parts, part); });
    suspectAnew(service);
}

void crash_correlator::suspectAnew(service_state& service)
{
    for (auto& [part, state] : service.parts)
        state.suspectedAt.reset();
    service.hasChanged = true;
}

void crash_correlator::expire(service_state& service, monotonic_time now)
{
    std::erase_if(service.crashes, [now](const crash_record& crash) { return now - crash.time > evidenceTime; });
    std::set<part_hash> used;
    for (const auto& crash : service.crashes)
        used.insert(crash.parts.begin(), crash.parts.end());
    std::erase_if(service.parts, [&used](const auto& entry) { return !used.contains(entry.first); });
}

} // namespace carawaylink::quarantine
