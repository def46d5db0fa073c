#include "store_sync.h"

#include "base/error.h"
#include "base/random.h"
#include "base/time.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <limits>

namespace carawaylink::gateway {

namespace {

constexpr unsigned statusOk = 200;
constexpr auto endpointInterval = std::chrono::milliseconds(800);
constexpr auto configurationWait = std::chrono::milliseconds(1500);
constexpr auto nodesInterval = std::chrono::seconds(4);
// Of nodes that get the changes from readers, and know the other nodes by the failure detector.
constexpr auto passiveEndpointInterval = std::chrono::seconds(30);
constexpr auto passiveConfigurationWait = std::chrono::seconds(30);
constexpr auto passiveNodesInterval = std::chrono::minutes(5);
// The quarantine is read for what was known before this process started; later changes come from the other nodes.
constexpr auto quarantineInterval = std::chrono::minutes(5);
// Only what was written before this process started matters.
// Bases move seldom; who needs the present ones reads them at once.
constexpr auto streamBaseInterval = std::chrono::minutes(5);
constexpr auto quotaMarkInterval = std::chrono::minutes(5);
// A node that hears of nothing for this long no longer relies on updates to tell it of a new configuration.
constexpr auto maxUpdateSilence = std::chrono::seconds(2);
constexpr auto updateInterval = std::chrono::milliseconds(400);
// An update repeats the changes of this time, so that a receiver may miss some.
constexpr auto repeatedChangesTime = std::chrono::milliseconds(2500);
// A configuration that a peer mentions is usually about to arrive from the store.
constexpr auto configurationGrace = std::chrono::milliseconds(150);
constexpr auto maxConfigurationGrace = std::chrono::milliseconds(900);
// Of a node that neither decides nor reads for all; and of those, while an order is undecided.
constexpr auto passiveStatusInterval = std::chrono::minutes(5);
constexpr auto statusInterval = std::chrono::milliseconds(300);
constexpr auto appendTimeout = std::chrono::milliseconds(800);
constexpr auto publishTimeout = std::chrono::seconds(2);
constexpr auto publishRetryDelay = std::chrono::milliseconds(500);
constexpr std::size_t maxPublishResponseBytes = 65536;
// Before the version in a record of a base, since a record without a value drops its key.
constexpr std::string_view baseMark = "=";

std::uint32_t ageInMilliseconds(monotonic_time asOf, monotonic_time now)
{
    if (asOf == monotonic_time {})
        return std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(wholeMilliseconds(now - asOf));
}

} // namespace

store_sync::store_sync(boost::asio::io_context& context, const gateway_settings& settings, const protocol_codec& codec, decision_log& log,
    const fleet_members& members, handlers callbacks)
    : m_context(context)
    , m_settings(settings)
    , m_codec(codec)
    , m_log(log)
    , m_members(members)
    , m_handlers(std::move(callbacks))
    , m_client(context)
    , m_random(randomSeed())
    , m_self(settings.peerAddress)
    , m_run(m_random())
    , m_endpoints(codec, log)
{
}

void store_sync::start()
{
    follow();
    publishSelf();
}

void store_sync::publishSelf()
{
    publish(store_topic::nodes, m_settings.nodeName, m_settings.peerAddress);
}

void store_sync::follow()
{
    const auto pace = std::make_shared<store_retry_pace>();
    const auto follower = [this, pace](follow_options options, store_follower::handlers callbacks) {
        callbacks.onHistoryChanged = [this](std::uint64_t history) { onHistoryChanged(history); };
        callbacks.onReached = [this] { retryFailedReads(); };
        auto created
            = std::make_shared<store_follower>(m_context, m_client, m_settings.storeAddress, m_codec, m_log, options, std::move(callbacks));
        created->shareRetryPace(pace);
        created->start();
        return created;
    };
    const auto applyRecords = [this](const std::vector<store_record>& records) {
        std::ranges::for_each(records, [this](const store_record& record) { onOperatorRecord(record); });
    };
    m_configurationFollower
        = follower({ store_topic::configuration, configurationWait, {} }, { applyRecords, applyRecords, [](duration) {} });
    m_endpointFollower = follower({ store_topic::endpoints, {}, endpointInterval },
        { [this](const auto& records) { onEndpointSnapshot(records); }, [this](const auto& records) { onEndpointRecords(records); },
            [this](duration outage) { m_endpoints.onStoreReconnected(outage, std::chrono::steady_clock::now()); } });
    m_nodeFollower = follower({ store_topic::nodes, {}, nodesInterval },
        { [this](const auto& records) { onNodeSnapshot(records); }, [this](const auto& records) { onNodeRecords(records); },
            [](duration) {} });
    m_quarantineFollower = follower({ store_topic::quarantine, {}, quarantineInterval },
        { [this](const auto& records) { onQuarantineSnapshot(records); }, m_handlers.onQuarantine, [](duration) {} });
    m_quotaFollower
        = follower({ store_topic::quotas, {}, quotaMarkInterval }, { m_handlers.onQuotaMarks, [](const auto&) {}, [](duration) {} });
    m_baseFollower = follower({ store_topic::stream_bases, {}, streamBaseInterval },
        { [this](const auto& records) {
             m_streamBases.clear();
             onStreamBaseRecords(records);
         },
            [this](const auto& records) { onStreamBaseRecords(records); }, [](duration) {} });
    if (!m_settings.rollouts)
        return;
    const auto applyStatuses = [this](const std::vector<store_record>& records) { onStatusRecords(records); };
    m_statusFollower = follower({ store_topic::status, {}, passiveStatusInterval }, { applyStatuses, applyStatuses, [](duration) {} });
}

void store_sync::onOperatorRecord(const store_record& record)
{
    if (m_settings.rollouts) {
        if (auto order = m_codec.decodeOrder(record)) {
            order->number |= m_configurationFollower->position().history << orderOffsetBits;
            m_handlers.onOrder(*order);
            return;
        }
    }
    applyConfiguration(record, configuration_source::read, m_self);
}

void store_sync::onStreamBaseRecords(const std::vector<store_record>& records)
{
    for (const auto& record : records) {
        const service_id service { record.key };
        if (record.value && record.value->starts_with(baseMark))
            m_streamBases[service] = record.value->substr(baseMark.size());
        else
            m_streamBases.erase(service);
    }
}

void store_sync::reportStreamBases()
{
    if (!m_baseFollower || !m_baseFollower->isLoaded() || m_baseFollower->asOf() == m_streamBasesAsOf)
        return;
    m_streamBasesAsOf = m_baseFollower->asOf();
    m_handlers.onStreamBases(m_streamBases, m_streamBasesAsOf);
}

void store_sync::writeStreamBase(const service_id& service, const std::string& version, std::function<void()> onDone)
{
    append(store_topic::stream_bases, { service.value, std::string(baseMark) + version }, m_baseFollower->position().offset,
        [onDone = std::move(onDone)](const std::optional<append_result>&) { onDone(); });
}

void store_sync::readStreamBases()
{
    m_baseFollower->readNow();
}

void store_sync::onStatusRecords(const std::vector<store_record>& records)
{
    for (const auto& record : records) {
        try {
            if (auto status = m_codec.decodeStatus(record)) {
                status->offset |= m_statusFollower->position().history << orderOffsetBits;
                m_handlers.onStatus(*status);
            }
        } catch (const error& failure) {
            m_log.event("rollout_status_invalid").field("key", record.key).field("error", '"' + std::string(failure.what()) + '"');
        }
    }
}

store_sync::status_position store_sync::statusPosition() const
{
    if (!m_statusFollower)
        return {};
    const auto& position = m_statusFollower->position();
    return { m_statusFollower->isLoaded(), position.history, position.offset, m_statusFollower->asOf() };
}

void store_sync::readStatus()
{
    if (m_statusFollower)
        m_statusFollower->readNow();
}

void store_sync::appendStatus(const service_status& status, std::uint64_t at, const route_name_source& routeName,
    std::function<void(std::optional<append_result>)> onDone)
{
    append(store_topic::status, m_codec.encodeStatus(status, routeName), at, std::move(onDone));
}

void store_sync::append(
    store_topic topic, const store_record& record, std::uint64_t at, std::function<void(std::optional<append_result>)> onDone)
{
    http_call_options options;
    options.idleTimeout = appendTimeout;
    options.totalTimeout = appendTimeout;
    options.maxBodyBytes = maxPublishResponseBytes;
    m_client.send(
        m_settings.storeAddress, m_codec.append(topic, record, at), options, [this, onDone = std::move(onDone)](const http_result& result) {
            std::optional<append_result> appended;
            try {
                if (result.ok())
                    appended = m_codec.decodeAppend(result.response);
            } catch (const error&) {
                appended.reset();
            }
            onDone(appended);
        });
}

// Each follower reads its topic anew, since what the store has lost may be in any of them.
void store_sync::onHistoryChanged(std::uint64_t history)
{
    if (history <= m_history)
        return;
    m_history = history;
    m_updateOffsets.clear();
    m_endpoints.onHistoryChanged();
    for (const auto& follower : followers()) {
        if (follower)
            follower->enterHistory(history);
    }
    m_handlers.onHistoryChanged();
}

// The followers take turns while the store fails; what one topic was answered, the others are likely to be answered as well.
void store_sync::retryFailedReads()
{
    for (const auto& follower : followers()) {
        if (follower)
            follower->retryNow();
    }
}

void store_sync::publish(store_topic topic, const std::string& key, const std::string& value)
{
    http_call_options options;
    options.idleTimeout = publishTimeout;
    options.maxBodyBytes = maxPublishResponseBytes;
    m_client.send(
        m_settings.storeAddress, m_codec.publish(topic, key, value), options, [this, topic, key, value](const http_result& result) {
            if (result.ok() && result.response.status == statusOk)
                return;
            m_log.event("publish_failed")
                .field("key", key)
                .field("status", result.response.status)
                .field("detail", '"' + result.detail + '"');
            auto timer = std::make_shared<boost::asio::steady_timer>(m_context, publishRetryDelay);
            timer->async_wait([this, timer, topic, key, value](boost::system::error_code status) {
                if (!status)
                    publish(topic, key, value);
            });
        });
}

bool store_sync::reachesStore() const
{
    return m_configurationFollower->isReachable() && m_endpointFollower->isReachable();
}

bool store_sync::applyConfiguration(const store_record& record, configuration_source source, const node_id& peer)
{
    const auto begin = std::chrono::steady_clock::now();
    const auto log = [&](std::string_view outcome, config_version version) {
        const auto now = std::chrono::steady_clock::now();
        m_log.event("configuration_received", outcome)
            .field("outcome", outcome)
            .field("source", configurationSourceNames.name(source))
            .field("peer", peer)
            .field("version", version)
            .field("bytes", record.value ? record.value->size() : 0)
            .field("decode_us", std::chrono::duration_cast<std::chrono::microseconds>(now - begin).count())
            .field("read_ms", wholeMilliseconds(begin - m_configurationFollower->readStartedAt()))
            .field("mentioned", m_mentionedVersion)
            .field("mentioned_ms", m_mentionedAt == monotonic_time {} ? -1 : wholeMilliseconds(begin - m_mentionedAt));
    };
    try {
        auto routes = m_codec.decodeConfiguration(record);
        if (!routes)
            return false;
        const auto version = routes->version;
        if (!m_handlers.onConfiguration(std::move(*routes))) {
            log("not_newer", version);
            return false;
        }
        log("in_force", version);
        m_configurationRecord = record;
        m_transfer.abandon();
        if (m_isReader)
            sendUpdate(std::chrono::steady_clock::now());
        return true;
    } catch (const error& failure) {
        log("invalid", {});
        m_log.event("configuration_invalid").field("key", record.key).field("error", '"' + std::string(failure.what()) + '"');
        return false;
    }
}

void store_sync::onEndpointSnapshot(const std::vector<store_record>& records)
{
    if (m_endpoints.replaceAll(records, endpointPosition().offset, std::chrono::steady_clock::now()))
        onEndpointsChanged();
}

void store_sync::onEndpointRecords(const std::vector<store_record>& records)
{
    if (m_endpoints.apply(records, endpointPosition().offset, std::chrono::steady_clock::now()))
        onEndpointsChanged();
}

// The record that this node wrote at its start is gone if the store came back from a copy from before.
void store_sync::onNodeSnapshot(const std::vector<store_record>& records)
{
    const bool isOwnListed = std::ranges::any_of(records,
        [this](const store_record& record) { return record.key == m_settings.nodeName && record.value == m_settings.peerAddress; });
    if (std::exchange(m_hasNodeSnapshot, true) && !isOwnListed)
        publishSelf();
    onNodeRecords(records);
}

void store_sync::onQuarantineSnapshot(const std::vector<store_record>& records)
{
    if (std::exchange(m_hasQuarantineSnapshot, true))
        m_handlers.onQuarantineLost(records);
    m_handlers.onQuarantine(records);
}

void store_sync::onNodeRecords(const std::vector<store_record>& records)
{
    for (const auto& record : records) {
        if (record.value)
            m_listed.insert(node_id { *record.value });
    }
    m_handlers.onNodes(m_listed);
}

void store_sync::onEndpointsChanged()
{
    applyEndpoints();
    if (m_isReader)
        sendUpdate(std::chrono::steady_clock::now());
}

void store_sync::applyEndpoints()
{
    const auto draining = std::ranges::count_if(m_endpoints.records(), [](const auto& entry) { return entry.second.draining; });
    m_log.event("endpoints_changed")
        .field("endpoints", m_endpoints.records().size())
        .field("draining", draining)
        .field("offset", m_endpoints.changedOffset());
    m_handlers.onEndpoints(m_endpoints.records());
    answerWaiting();
}

void store_sync::tick(monotonic_time now)
{
    if (m_endpoints.expire(endpointPosition().offset, now))
        onEndpointsChanged();
    const bool wasReader = m_isReader;
    const auto rank = m_members.reachableBefore();
    m_isReader = reachesStore() && m_readers.shouldRead(m_self, rank, now);
    if (m_isReader != wasReader)
        m_log.event(m_isReader ? "reads_store_for_all" : "reads_store_no_longer").field("rank", rank);
    adjustReadTiming(now);
    // The others get the endpoints from the first nodes, so that a store in trouble is asked seldom by most.
    for (const auto& follower : followers()) {
        if (follower)
            follower->setRetriesFirstReadOften(rank < store_readers::readerCount);
    }
    if (m_isReader && m_endpoints.isLoaded() && now - m_lastUpdateAt >= updateInterval)
        sendUpdate(now);
    reportStreamBases();
    readMissingConfiguration(now);
    if ((!reachesStore() || needsConfigurationFromPeers(now)) && now - m_lastCopyRequestAt >= copyRequestInterval)
        requestCopyFromAny(now);
}

bool store_sync::missesConfiguration(monotonic_time now) const
{
    return m_mentionedVersion > m_handlers.version() && now - m_mentionedAt > configurationReadTime(m_mentionedBytes);
}

duration store_sync::configurationReadTime(std::size_t bytes) const
{
    const auto all = static_cast<double>(bytes) * static_cast<double>(m_members.reachable().size());
    const auto transfer = m_settings.storeReadBytesPerSecond > 0 ? all / m_settings.storeReadBytesPerSecond : 0;
    const auto expected = configurationGrace + std::chrono::duration_cast<duration>(std::chrono::duration<double>(transfer));
    return std::min<duration>(expected, maxConfigurationGrace);
}

// A version that a reader has is in the store, so that a read which began before is on a connection that does not answer any more.
void store_sync::readMissingConfiguration(monotonic_time now)
{
    if (!missesConfiguration(now))
        return;
    const auto presumedDead = std::max<monotonic_time>(m_mentionedAt, now - maxConfigurationGrace);
    if (m_configurationFollower->awaitsAnswerSince(presumedDead, now))
        m_configurationFollower->replaceRead();
}

void store_sync::adjustReadTiming(monotonic_time now)
{
    const bool readsAtFullRate = m_isReader || !reachesStore();
    const bool isTold = !readsAtFullRate && now - m_updateReceivedAt < maxUpdateSilence;
    m_configurationFollower->setReadTiming(isTold ? duration(passiveConfigurationWait) : duration(configurationWait), {});
    const bool isUpdated = now - m_updatedAsOf < maxEndpointAge;
    const bool needsEndpointRead = readsAtFullRate || !isUpdated;
    m_endpointFollower->setReadTiming({}, needsEndpointRead ? duration(endpointInterval) : duration(passiveEndpointInterval));
    if (needsEndpointRead && now - m_endpointFollower->asOf() > maxEndpointAge)
        m_endpointFollower->readNow();
    if (m_statusFollower) {
        const bool needsStatus = m_handlers.decides() || (m_isReader && m_handlers.hasOpenOrders());
        m_statusFollower->setReadTiming({}, needsStatus ? duration(statusInterval) : duration(passiveStatusInterval));
    }
    m_nodeFollower->setReadTiming({}, readsAtFullRate ? duration(nodesInterval) : duration(passiveNodesInterval));
}

void store_sync::sendUpdate(monotonic_time now)
{
    if (!m_endpointFollower->isLoaded())
        return;
    m_lastUpdateAt = now;
    peer::store_updateT update;
    update.origin = m_self.value;
    update.run = m_run;
    update.sent_us = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count());
    update.sequence = ++m_updateSequence;
    update.configuration_version = m_handlers.version().value;
    update.configuration_bytes = m_configurationRecord.value ? static_cast<std::uint32_t>(m_configurationRecord.value->size()) : 0;
    update.history = endpointPosition().history;
    update.offset = endpointPosition().offset;
    update.age_ms = ageInMilliseconds(m_endpointFollower->asOf(), now);
    while (m_updateOffsets.size() > 1 && now - m_updateOffsets[1].first >= repeatedChangesTime)
        m_updateOffsets.pop_front();
    const bool coversTime = !m_updateOffsets.empty() && now - m_updateOffsets.front().first >= repeatedChangesTime;
    update.base_offset = coversTime ? m_updateOffsets.front().second : 0;
    m_endpoints.forgetChangesUpTo(update.base_offset);
    m_endpoints.fillUpdate(update, now);
    for (auto& rules : m_handlers.rules())
        update.rollouts.push_back(std::make_unique<peer::rollout_rulesT>(std::move(rules)));
    m_updateOffsets.emplace_back(now, update.offset);
    relay(update);
}

void store_sync::relay(peer::store_updateT update)
{
    const node_range range { node_id { update.range_after }, node_id { update.range_before } };
    m_relayedUnloaded.clear();
    for (const auto& target : relayTargets(range, m_self, node_id { update.origin }, m_members.reachable(), m_random)) {
        update.range_after = target.range.after.value;
        update.range_before = target.range.before.value;
        peer::envelopeT message;
        message.body.Set(peer::store_updateT(update));
        m_handlers.send({ &target.node, 1 }, std::move(message));
        if (!isLoaded())
            m_relayedUnloaded.push_back(target.node);
    }
}

void store_sync::receive(const node_id& sender, const peer::store_updateT& update)
{
    const auto now = std::chrono::steady_clock::now();
    const update_stamp stamp { node_id { update.origin }, update.run, update.sequence, std::chrono::microseconds(update.sent_us) };
    if (stamp.origin == m_self)
        return;
    const auto age = m_readers.receive(stamp, std::chrono::milliseconds(update.age_ms), now);
    if (!age)
        return;
    m_updateReceivedAt = now;
    relay(update);
    applyRules(update.rollouts);
    const config_version mentioned { update.configuration_version };
    if (mentioned > m_mentionedVersion) {
        m_mentionedVersion = mentioned;
        m_mentionedAt = now;
        m_mentionedBytes = update.configuration_bytes;
        m_log.event("configuration_mentioned")
            .field("version", mentioned)
            .field("known", m_handlers.version())
            .field("origin", stamp.origin)
            .field("peer", sender);
    }
    onHistoryChanged(update.history);
    // Without the changes before the base, or all of the history, this node reads the store itself.
    const auto known = endpointPosition();
    if (!isLoaded())
        requestFirstCopy(sender, { update.history, update.offset }, now - *age, now);
    if (!hasEndpoints() || known.history != update.history || known.offset < update.base_offset)
        return;
    m_endpointFollower->skipTo({ update.history, update.offset });
    if (m_endpoints.applyUpdate(update, known.offset, reachesStore(), now))
        applyEndpoints();
    m_updatedAsOf = std::max(m_updatedAsOf, now - *age);
}

void store_sync::applyRules(const std::vector<std::unique_ptr<peer::rollout_rulesT>>& rules)
{
    for (const auto& entry : rules) {
        if (entry && m_settings.rollouts)
            m_handlers.onRules(*entry);
    }
}

} // namespace carawaylink::gateway
