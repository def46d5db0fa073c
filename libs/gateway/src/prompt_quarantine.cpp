#include "prompt_quarantine.h"

#include "peer_codec.h"

#include "crypto/digest.h"

#include <algorithm>
#include <charconv>
#include <iomanip>
#include <utility>

namespace carawaylink::gateway {

namespace {

using quarantine::part_hash;

// A node that starts gets the parts in force from those before it within this time.
constexpr auto upkeepInterval = std::chrono::seconds(1);
constexpr std::size_t passOnFanOut = 3;
// A node that takes over the correlation gets the crashes of this time again.
constexpr auto repeatedCrashTime = std::chrono::seconds(20);
constexpr std::size_t maxRepeatedCrashes = 256;
constexpr auto watchTime = std::chrono::seconds(60);
// A node that was paused for longer may have unread reports of answers.
constexpr auto maxTickInterval = std::chrono::milliseconds(500);
// Of a node that was refused a probe of a part. With many nodes it is longer, which bounds the questions to the node in charge to 20/s.
constexpr auto minProbeInterval = std::chrono::seconds(1);
constexpr auto probeIntervalPerNode = std::chrono::milliseconds(50);

template <typename Integer> std::optional<Integer> parse(std::string_view text, int base)
{
    Integer value {};
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    return status == std::errc {} && end == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

peer::quarantine_updateT encode(std::span<const quarantine::quarantine_entry> entries)
{
    peer::quarantine_updateT update;
    for (const auto& entry : entries) {
        if (entry.remaining > duration {})
            update.parts.emplace_back(entry.part.value, encodeMilliseconds(entry.remaining), entry.times);
        else
            update.on_probation.emplace_back(entry.part.value, encodeMilliseconds(entry.idle), entry.times);
    }
    return update;
}

} // namespace

prompt_quarantine::prompt_quarantine(node_id self, decision_log& log, sender send)
    : m_self(std::move(self))
    , m_log(log)
    , m_send(std::move(send))
    , m_nodes({ m_self })
    , m_probes(
          [this](part_hash part) {
              if (m_members)
                  sendProbeStep(m_members->nodeFor(part.value), part, peer::probe_step::asked);
          },
          [this](part_hash part) {
              if (m_members)
                  sendProbeStep(m_members->nodeFor(part.value), part, peer::probe_step::ended);
          })
{
}

prompt_quarantine::parts prompt_quarantine::partsOf(const service_id& service, std::span<const std::string> sharedParts)
{
    const auto hash = serviceHash(service);
    parts result;
    std::ranges::transform(sharedParts, std::back_inserter(result), [hash](const std::string& id) { return partHash(hash, id); });
    return result;
}

quarantine::part_hash prompt_quarantine::identityOf(const service_id& service, const http_request& request, const std::string& caller)
{
    // No field contains the separator but the body, which comes last.
    const auto text = request.method + '\n' + request.target + '\n' + caller + '\n' + request.body;
    return partHash(serviceHash(service), "request " + sha256Hex(text));
}

std::string prompt_quarantine::logName(part_hash part)
{
    std::ostringstream text;
    text << std::hex << std::setw(16) << std::setfill('0') << part.value;
    return text.str();
}

std::optional<duration> prompt_quarantine::remaining(const parts& requested, monotonic_time now) const
{
    std::optional<duration> longest;
    for (const auto part : requested)
        longest = std::max(longest, m_list.remaining(part, now));
    return longest;
}

prompt_quarantine::parts prompt_quarantine::onProbation(const parts& requested, monotonic_time now) const
{
    parts result;
    std::ranges::copy_if(requested, std::back_inserter(result), [&](part_hash part) { return m_list.isOnProbation(part, now); });
    return result;
}

duration prompt_quarantine::probeInterval() const
{
    return std::max<duration>(minProbeInterval, m_nodes.size() * probeIntervalPerNode);
}

bool prompt_quarantine::askForProbe(std::uint64_t request, parts probed, monotonic_time now)
{
    std::ranges::for_each(probed, [&](part_hash part) { m_list.recordDemand(part, now); });
    return m_probes.ask(request, std::move(probed), probeInterval(), now);
}

bool prompt_quarantine::recordProbeAnswer(std::uint64_t request, monotonic_time now)
{
    const auto probed = m_probes.takeAnswered(request);
    for (const auto part : probed) {
        for (const auto& node : m_nodes) {
            if (node != m_self)
                sendProbeStep(node, part, peer::probe_step::answered);
        }
        release(part, m_list.timesOf(part), now);
    }
    return !probed.empty();
}

void prompt_quarantine::release(part_hash part, unsigned times, monotonic_time now)
{
    if (!m_list.release(part, times, now))
        return;
    m_log.event("quarantine_ended").field("part", logName(part)).field("cause", "answer").field("times", times);
    if (isInCharge(part))
        m_store(logName(part), "");
}

void prompt_quarantine::recordAnswer(const parts& answered, monotonic_time now)
{
    for (const auto part : answered) {
        m_answers.record(part, now);
        const auto watched = m_watches.find(part);
        if (watched == m_watches.end())
            continue;
        peer::part_answersT report;
        report.service = watched->second.service.value;
        report.answers.emplace_back(part.value, 0);
        const auto collectors = std::move(watched->second.collectors);
        m_watches.erase(watched);
        std::ranges::for_each(collectors, [&](const node_id& collector) { send(collector, report); });
    }
}

void prompt_quarantine::recordCrash(
    const service_id& service, const discovery::replica_id& replica, const parts& unanswered, monotonic_time now, const parts& requests)
{
    if (m_crashes.size() >= maxRepeatedCrashes)
        m_crashes.pop_front();
    m_crashes.push_back({ { serviceHash(service), quarantine::replica_hash { replicaHash(replica) }, unanswered, requests }, now, {} });
    auto line = m_log.event("endpoint_crashed");
    line.field("service", service).field("replica", replica);
    std::ranges::for_each(unanswered, [&line](part_hash part) { line.field("part", logName(part)); });
    std::ranges::for_each(requests, [&line](part_hash request) { line.field("identity", logName(request)); });
}

void prompt_quarantine::tick(const fleet_members& members, monotonic_time now)
{
    const bool haveMembersChanged = std::exchange(m_membersVersion, members.version()) != members.version();
    if (haveMembersChanged)
        m_nodes = members.reachable();
    m_members = &members;
    if (haveMembersChanged)
        forgetProbesOfOthers(now);
    m_probes.tick(probeInterval(), now);
    if (now - std::exchange(m_lastTickAt, now) > maxTickInterval)
        m_correlator.suspectAnew();
    sendCrashes(members, haveMembersChanged, now);
    sendWatches(now);
    announceDecisions(now);
    if (now - m_lastUpkeepAt < upkeepInterval)
        return;
    m_lastUpkeepAt = now;
    beginProbations(now);
    forgetUnused(members, now);
    forgetProbesOfOthers(now);
    std::erase_if(m_watches, [now](const auto& entry) { return entry.second.until < now; });
    passOn(now);
}

std::vector<node_id> prompt_quarantine::collectorsOf(quarantine::service_hash service, const fleet_members& members) const
{
    std::vector<node_id> collectors { members.nodeFor(service.value) };
    if (m_nodes.size() > 1)
        collectors.push_back(nodeAfter(collectors.front(), 1));
    return collectors;
}

const node_id& prompt_quarantine::nodeAfter(const node_id& node, std::size_t steps) const
{
    const auto position = static_cast<std::size_t>(std::ranges::lower_bound(m_nodes, node) - m_nodes.begin());
    return m_nodes[(position + steps) % m_nodes.size()];
}

void prompt_quarantine::sendCrashes(const fleet_members& members, bool haveMembersChanged, monotonic_time now)
{
    while (!m_crashes.empty() && now - m_crashes.front().time > repeatedCrashTime)
        m_crashes.pop_front();
    for (auto& reported : m_crashes) {
        if (!reported.collectors.empty() && !haveMembersChanged)
            continue;
        peer::crash_reportT report;
        report.service = reported.crash.service.value;
        report.replica = reported.crash.replica.value;
        report.age_ms = encodeMilliseconds(now - reported.time);
        std::ranges::transform(reported.crash.parts, std::back_inserter(report.parts), &part_hash::value);
        std::ranges::transform(reported.crash.requests, std::back_inserter(report.requests), &part_hash::value);
        auto collectors = collectorsOf(reported.crash.service, members);
        for (const auto& collector : collectors) {
            if (std::ranges::find(reported.collectors, collector) == reported.collectors.end())
                send(collector, report);
        }
        reported.collectors = std::move(collectors);
    }
}

void prompt_quarantine::sendWatches(monotonic_time now)
{
    std::map<quarantine::service_hash, peer::part_watchT> requests;
    for (const auto& suspect : m_correlator.takeSuspects(m_list, now)) {
        auto& request = requests[suspect.service];
        request.service = suspect.service.value;
        request.parts.push_back(suspect.part.value);
        m_log.event("part_suspected").field("part", logName(suspect.part));
    }
    for (const auto& [service, request] : requests)
        std::ranges::for_each(m_nodes, [&](const node_id& node) { send(node, request); });
}

void prompt_quarantine::announceDecisions(monotonic_time now)
{
    for (const auto& decided : m_correlator.takeDecisions(m_list, now)) {
        m_log.event("quarantine_decided")
            .field("part", logName(decided.entry.part))
            .field("crashes", decided.crashes)
            .field("all_crashes", decided.allCrashes)
            .field("first_crash_age_ms", encodeMilliseconds(decided.elapsed))
            .field("times", decided.entry.times)
            .field("quarantine_ms", encodeMilliseconds(decided.entry.remaining));
        const auto update = encode({ &decided.entry, 1 });
        for (const auto& node : m_nodes) {
            if (node != m_self)
                send(node, update);
        }
        m_store(logName(decided.entry.part), std::to_string(decided.entry.times));
        m_onQuarantined();
    }
}

void prompt_quarantine::restore(const std::vector<store_record>& records, monotonic_time now)
{
    bool hasNew = false;
    for (const auto& record : records) {
        if (!record.value)
            continue;
        const auto part = parse<std::uint64_t>(record.key, 16);
        const auto times = parse<unsigned>(*record.value, 10);
        if (!part || !times) {
            m_log.event("quarantine_record_invalid").field("key", record.key);
            continue;
        }
        if (!m_list.restore(part_hash { *part }, *times, now))
            continue;
        hasNew = true;
        m_log.event("part_quarantined").field("part", record.key).field("times", *times).field("source", "store");
    }
    if (hasNew)
        m_onQuarantined();
}

void prompt_quarantine::rewrite(const std::vector<store_record>& records, const fleet_members& members, monotonic_time now)
{
    for (const auto& entry : m_list.held(now)) {
        const auto key = logName(entry.part);
        const auto value = std::to_string(entry.times);
        const bool isHeld
            = std::ranges::any_of(records, [&](const store_record& record) { return record.key == key && record.value == value; });
        if (isHeld || members.nodeFor(entry.part.value) != m_self)
            continue;
        m_log.event("quarantine_rewritten").field("part", key).field("times", entry.times);
        m_store(key, value);
    }
}

void prompt_quarantine::beginProbations(monotonic_time now)
{
    for (const auto part : m_list.takeEnded(now))
        m_log.event("part_on_probation").field("part", logName(part)).field("times", m_list.timesOf(part));
}

void prompt_quarantine::forgetProbesOfOthers(monotonic_time now)
{
    m_arbiter.retain([&](part_hash part) { return m_list.isOnProbation(part, now) && isInCharge(part); });
}

// One node deletes the record of a part, so that it is not restored by a later start.
void prompt_quarantine::forgetUnused(const fleet_members& members, monotonic_time now)
{
    for (const auto part : m_list.expire(now)) {
        m_log.event("quarantine_ended").field("part", logName(part)).field("cause", "unused");
        if (members.nodeFor(part.value) == m_self)
            m_store(logName(part), "");
    }
}

// A node without knowledge gets the entries from those before it in the order of addresses, so that no request for them is needed.
void prompt_quarantine::passOn(monotonic_time now)
{
    const auto entries = m_list.held(now);
    if (entries.empty())
        return;
    const auto update = encode(entries);
    for (std::size_t step = 1; step <= std::min(passOnFanOut, m_nodes.size() - 1); ++step)
        send(nodeAfter(m_self, step), update);
}

bool prompt_quarantine::receive(const node_id& node, const peer::envelopeT& message, monotonic_time now)
{
    if (const auto* report = message.body.Ascrash_report())
        receive(*report, now);
    else if (const auto* request = message.body.Aspart_watch())
        receive(node, *request, now);
    else if (const auto* answers = message.body.Aspart_answers())
        receive(*answers, now);
    else if (const auto* update = message.body.Asquarantine_update())
        receive(*update, now);
    else if (const auto* probe = message.body.Aspart_probe())
        receive(node, *probe, now);
    else
        return false;
    return true;
}

void prompt_quarantine::receive(const peer::crash_reportT& report, monotonic_time now)
{
    quarantine::endpoint_crash crash { quarantine::service_hash { report.service }, quarantine::replica_hash { report.replica }, {} };
    const auto toHash = [](std::uint64_t part) { return part_hash { part }; };
    std::ranges::transform(report.parts, std::back_inserter(crash.parts), toHash);
    std::ranges::transform(report.requests, std::back_inserter(crash.requests), toHash);
    m_correlator.addCrash(crash, now - std::chrono::milliseconds(report.age_ms), m_list, now);
}

void prompt_quarantine::receive(const node_id& node, const peer::part_watchT& request, monotonic_time now)
{
    peer::part_answersT report;
    report.service = request.service;
    for (const auto hash : request.parts) {
        const part_hash part { hash };
        auto& watched = m_watches[part];
        watched.service = quarantine::service_hash { request.service };
        watched.until = now + watchTime;
        if (std::ranges::find(watched.collectors, node) == watched.collectors.end())
            watched.collectors.push_back(node);
        if (const auto answered = m_answers.lastAnswer(part))
            report.answers.emplace_back(hash, encodeMilliseconds(now - *answered));
    }
    if (!report.answers.empty())
        send(node, report);
}

void prompt_quarantine::receive(const peer::part_answersT& report, monotonic_time now)
{
    for (const auto& answer : report.answers) {
        m_correlator.addAnswer(
            { quarantine::service_hash { report.service }, part_hash { answer.part() } }, now - std::chrono::milliseconds(answer.age_ms()));
    }
}

void prompt_quarantine::receive(const peer::quarantine_updateT& update, monotonic_time now)
{
    bool hasNew = false;
    for (const auto& entry : update.parts) {
        const part_hash part { entry.part() };
        if (!m_list.merge({ part, entry.times(), std::chrono::milliseconds(entry.remaining_ms()) }, now))
            continue;
        hasNew = true;
        m_correlator.explainCrashes(part);
        m_log.event("part_quarantined")
            .field("part", logName(part))
            .field("times", entry.times())
            .field("remaining_ms", entry.remaining_ms());
    }
    for (const auto& entry : update.on_probation)
        learnProbation({ part_hash { entry.part() }, entry.times(), {}, std::chrono::milliseconds(entry.idle_ms()) }, now);
    if (hasNew)
        m_onQuarantined();
}

void prompt_quarantine::learnProbation(const quarantine::quarantine_entry& entry, monotonic_time now)
{
    if (!m_list.merge(entry, now))
        return;
    // A crash with the part may be known already. It is that of a probe and prolongs the quarantine.
    m_correlator.suspectAnew();
    m_log.event("part_quarantined").field("part", logName(entry.part)).field("times", entry.times).field("remaining_ms", 0);
}

void prompt_quarantine::receive(const node_id& node, const peer::part_probeT& message, monotonic_time now)
{
    const part_hash part { message.part };
    switch (message.step) {
    case peer::probe_step::asked:
        sendProbeStep(node, part, replyTo(node, message, now));
        break;
    case peer::probe_step::granted:
        m_probes.grant(part);
        break;
    case peer::probe_step::refused:
        m_probes.refuse(part, probeInterval(), now);
        break;
    case peer::probe_step::answered:
        release(part, message.times, now);
        m_probes.refuse(part, probeInterval(), now);
        break;
    case peer::probe_step::ended:
        m_arbiter.end(part, node, now);
        break;
    }
}

peer::probe_step prompt_quarantine::replyTo(const node_id& prober, const peer::part_probeT& question, monotonic_time now)
{
    const part_hash part { question.part };
    m_list.merge({ part, question.times, {}, {} }, now);
    m_list.recordDemand(part, now);
    const bool isEnded = !m_list.isOnProbation(part, now) && !m_list.remaining(part, now);
    if (isEnded && m_list.timesOf(part) >= question.times)
        return peer::probe_step::answered;
    if (!isInCharge(part) || !m_list.isOnProbation(part, now) || !m_arbiter.ask(part, prober, now))
        return peer::probe_step::refused;
    m_log.event("probe_granted").field("part", logName(part)).field("times", m_list.timesOf(part)).field("prober", prober);
    return peer::probe_step::granted;
}

void prompt_quarantine::sendProbeStep(const node_id& node, part_hash part, peer::probe_step step)
{
    peer::part_probeT message;
    message.part = part.value;
    message.times = m_list.timesOf(part);
    message.step = step;
    send(node, message);
}

template <typename Message> void prompt_quarantine::send(const node_id& node, const Message& message)
{
    peer::envelopeT envelope;
    envelope.body.Set(Message(message));
    m_send(node, std::move(envelope));
}

} // namespace carawaylink::gateway
