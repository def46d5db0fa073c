#include "stream_versions.h"

#include "base/time.h"
#include "peer_codec.h"

#include <algorithm>
#include <ranges>
#include <utility>
#include <xxhash.h>

namespace carawaylink::gateway {

namespace {

// A recorder that has not confirmed a start by then is bypassed for a while. Above the time of a write that the store answers slowly.
constexpr auto recorderTimeout = std::chrono::milliseconds(300);
constexpr auto bypassTime = std::chrono::seconds(2);
// From here on the store counts as not taking records.
constexpr auto delayedAfter = std::chrono::milliseconds(500);
// A start that is not recorded by then belongs to a stream that has ended.
constexpr auto maxPendingTime = std::chrono::seconds(30);
// A caller that comes back is refused if its version is not known by then.
constexpr auto maxLookupTime = std::chrono::milliseconds(1000);
// Delay before a read that the store did not answer is repeated.
constexpr auto readRetryDelay = std::chrono::milliseconds(100);
constexpr auto baseReadInterval = std::chrono::milliseconds(250);
constexpr auto baseWriteInterval = std::chrono::milliseconds(500);
// Nodes for each that records starts, so that the writes of a large fleet stay within what a store takes.
constexpr std::size_t nodesPerRecorder = 64;
// Tells the keys of recorders from other keys of nodes in charge.
constexpr std::string_view recorderKey = "stream starts ";

std::uint64_t keyOfRecorder(std::size_t number)
{
    const auto key = std::string(recorderKey) + std::to_string(number);
    return XXH64(key.data(), key.size(), 0);
}

} // namespace

stream_versions::stream_versions(node_id self, decision_log& log, gateway_metrics& metrics, sender send)
    : m_self(std::move(self))
    , m_log(log)
    , m_metrics(metrics)
    , m_send(std::move(send))
    , m_alive(std::make_shared<stream_versions*>(this))
{
}

streams::stream_id stream_versions::idOf(const std::string& attempt)
{
    return streams::stream_id { attempt.empty() ? 0 : XXH64(attempt.data(), attempt.size(), 0) };
}

void stream_versions::setEndpoints(const streams::base_versions::endpoints_by_service& endpoints, monotonic_time now)
{
    m_bases.setEndpoints(endpoints, now);
}

void stream_versions::setBases(const streams::base_versions::bases& bases, monotonic_time asOf)
{
    for (const auto& [service, version] : bases) {
        if (m_bases.baseOf(service) != version)
            m_log.event("base_version").field("service", service).field("version", version);
    }
    m_bases.setBases(bases, asOf);
}

// What this node has recorded is written again; a record that the store still holds does no harm twice.
void stream_versions::onHistoryChanged(monotonic_time now)
{
    for (const auto& start : m_own.all()) {
        if (!m_bases.isUnrecorded(start.software))
            m_recorder.add(m_self, start, now);
    }
}

std::optional<std::string> stream_versions::servedBase(const service_id& service) const
{
    auto base = m_bases.baseOf(service);
    return base && endpointsOf({ service, *base }) > 0 ? std::move(base) : std::nullopt;
}

bool stream_versions::begin(const streams::stream_start& start, std::function<void()> onRecorded, monotonic_time now)
{
    if (!m_store)
        return true;
    const auto* known = m_own.find(start.stream);
    const bool isOther = known && known->software != start.software;
    const bool isKnown = known && !isOther;
    if (const auto pending = m_pending.find(start.stream.value); isKnown && pending != m_pending.end()) {
        pending->second.onRecorded = std::move(onRecorded);
        return false;
    }
    m_own.add(start, now);
    // A record of an earlier send, which the store may hold, must not stand for this one.
    if (isKnown || (!isOther && m_bases.isUnrecorded(start.software)))
        return true;
    m_pending[start.stream.value] = { start, std::move(onRecorded), now };
    m_unsent.push_back(start);
    m_metrics.streamStart("recorded");
    return false;
}

void stream_versions::find(streams::stream_id stream, const service_id& service, binding_handler onFound, monotonic_time now)
{
    if (const auto* known = m_own.find(stream)) {
        onFound({ known->software, version_source::own, m_own.ageOf(stream, now) });
        return;
    }
    if (!m_store) {
        onFound({});
        return;
    }
    m_lookups.push_back({ stream, service, std::move(onFound), now });
    read(now);
}

node_id stream_versions::recorderFor(const fleet_members& members, monotonic_time now) const
{
    if (now < m_recordsItselfUntil)
        return m_self;
    const auto recorders = 1 + members.reachable().size() / nodesPerRecorder;
    return members.nodeFor(keyOfRecorder(members.reachableBefore() % recorders));
}

void stream_versions::tick(const fleet_members& members, monotonic_time now)
{
    m_own.expire(now);
    m_recorded.expire(now);
    if (!m_store)
        return;
    std::erase_if(m_pending, [now](const auto& entry) { return now - entry.second.since > maxPendingTime; });
    hand(members, now);
    write(now);
    read(now);
    answerLookups({}, now);
    updateBases(members, now);
}

void stream_versions::hand(const fleet_members& members, monotonic_time now)
{
    m_isDelayed = false;
    for (auto& [id, pending] : m_pending) {
        const auto waited = now - pending.since;
        m_isDelayed = m_isDelayed || waited > delayedAfter;
        if (pending.isOwnRecord || waited <= recorderTimeout)
            continue;
        m_recordsItselfUntil = now + bypassTime;
        pending.isOwnRecord = true;
        m_recorder.add(m_self, pending.start, now);
    }
    if (m_unsent.empty())
        return;
    const auto recorder = recorderFor(members, now);
    const auto starts = std::exchange(m_unsent, {});
    if (recorder != m_self) {
        peer::envelopeT message;
        message.body.Set(encodeStarts(starts));
        m_send(recorder, std::move(message));
        return;
    }
    for (const auto& start : starts) {
        m_recorder.add(m_self, start, now);
        if (const auto pending = m_pending.find(start.stream.value); pending != m_pending.end())
            pending->second.isOwnRecord = true;
    }
}

void stream_versions::write(monotonic_time now)
{
    auto batch = m_recorder.takeBatch(now);
    if (batch.empty())
        return;
    m_log.event("stream_starts_written").field("starts", batch.size()).field("waiting", m_recorder.size());
    m_store->append(encodeStartRecord(batch), [this, alive = std::weak_ptr(m_alive), batch](bool isWritten) {
        if (!alive.expired() && isWritten)
            onWritten(batch);
    });
}

void stream_versions::onWritten(const streams::start_recorder::batch& batch)
{
    for (const auto& [node, starts] : m_recorder.confirm(batch)) {
        peer::streams_recordedT reply;
        for (const auto& start : starts)
            reply.sends.emplace_back(start.stream.value, start.send);
        if (node == m_self) {
            onRecorded(reply.sends);
            continue;
        }
        peer::envelopeT message;
        message.body.Set(std::move(reply));
        m_send(node, std::move(message));
    }
}

void stream_versions::onRecorded(const std::vector<peer::stream_send>& sends)
{
    for (const auto& send : sends) {
        const auto found = m_pending.find(send.stream());
        if (found == m_pending.end() || found->second.start.send != send.send())
            continue;
        const auto handler = std::move(found->second.onRecorded);
        m_pending.erase(found);
        handler();
    }
}

bool stream_versions::receive(const node_id& node, const peer::envelopeT& message, monotonic_time now)
{
    if (const auto* starts = message.body.Asstream_starts()) {
        for (const auto& start : decodeStarts(*starts))
            m_recorder.add(node, start, now);
        return true;
    }
    if (const auto* recorded = message.body.Asstreams_recorded()) {
        onRecorded(recorded->sends);
        return true;
    }
    return false;
}

void stream_versions::updateBases(const fleet_members& members, monotonic_time now)
{
    if (m_bases.needsRead(now - m_basesReadAt) && now - m_basesReadAt > baseReadInterval) {
        m_basesReadAt = now;
        m_store->readBases();
    }
    if (now - m_basesWrittenAt <= baseWriteInterval)
        return;
    for (const auto& base : m_bases.due(now)) {
        if (members.nodeFor(serviceHash(base.service).value) != m_self)
            continue;
        m_basesWrittenAt = now;
        m_log.event("base_version_proposed")
            .field("service", base.service)
            .field("version", base.version)
            .field("before", m_bases.baseOf(base.service).value_or(""))
            .field("endpoints", m_bases.endpointsOf(base));
        // Another node may have written first; either way the read tells what holds.
        m_store->writeBase(base, [this, alive = std::weak_ptr(m_alive)] {
            if (!alive.expired())
                m_store->readBases();
        });
        return;
    }
}

void stream_versions::read(monotonic_time now)
{
    if (m_isReading || m_lookups.empty() || now < m_nextReadAt)
        return;
    m_isReading = true;
    m_store->read([this, alive = std::weak_ptr(m_alive), now](const start_records& result) {
        if (!alive.expired())
            onRead(result, now);
    });
}

void stream_versions::onRead(const start_records& result, monotonic_time startedAt)
{
    m_isReading = false;
    const auto now = std::chrono::steady_clock::now();
    for (const auto& record : result.records) {
        for (const auto& start : decodeStartRecord(record))
            m_recorded.add(start, now);
    }
    if (!result.isComplete)
        m_nextReadAt = now + readRetryDelay;
    answerLookups(result.isComplete ? startedAt : monotonic_time {}, now);
    // A lookup whose base is unconfirmed waits for the next tick.
    if (std::ranges::any_of(m_lookups, [&](const lookup& asked) { return asked.since > startedAt; }))
        read(now);
}

void stream_versions::answerLookups(monotonic_time readSince, monotonic_time now)
{
    std::vector<std::pair<binding_handler, stream_binding>> answers;
    std::erase_if(m_lookups, [&](lookup& asked) {
        auto binding = decide(asked, readSince, now);
        if (binding)
            answers.emplace_back(std::move(asked.onFound), std::move(*binding));
        return binding.has_value();
    });
    for (const auto& [handler, binding] : answers)
        handler(binding);
}

std::optional<stream_binding> stream_versions::decide(const lookup& asked, monotonic_time readSince, monotonic_time now) const
{
    // What was written before the caller came back is in a read that began afterwards.
    if (asked.since <= readSince) {
        if (const auto* known = m_recorded.find(asked.stream))
            return stream_binding { known->software, version_source::record, m_recorded.ageOf(asked.stream, now) };
        const auto base = m_bases.baseOf(asked.service);
        const streams::software_version software { asked.service, base.value_or("") };
        const bool isCertain = asked.stream.value != 0 || m_bases.isOnlyVersion(software);
        // An endpoint of the base that has just appeared may have come after the base moved on.
        const bool isConfirmed = m_bases.isUnrecorded(software) || m_bases.endpointsOf(software) == 0;
        if (base && isCertain && isConfirmed)
            return stream_binding { software, version_source::base, now - asked.since };
        if (base && !isCertain)
            return stream_binding {};
    }
    return now - asked.since > maxLookupTime ? std::optional(stream_binding {}) : std::nullopt;
}

} // namespace carawaylink::gateway
