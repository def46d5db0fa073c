#include "store_follower.h"

#include "base/error.h"
#include "base/time.h"

#include <utility>

namespace carawaylink::gateway {

namespace {

// Time allowed for a response on top of the requested wait; detects connections that stopped responding.
constexpr auto responseTimeout = std::chrono::milliseconds(900);
// Time allowed for a whole response on top of the requested wait; ends one that arrives byte by byte.
constexpr auto totalResponseTimeout = std::chrono::seconds(4);
constexpr auto storeConnectTimeout = std::chrono::milliseconds(500);
// Delay before a read is repeated whose answer cannot be used; doubles with each further one that the store does not have.
constexpr auto minRepeatDelay = std::chrono::milliseconds(250);
constexpr auto maxRepeatDelay = std::chrono::milliseconds(1000);
// Delay before a node that reads for all repeats a first read that failed.
constexpr auto firstReadRetryDelay = std::chrono::milliseconds(250);
constexpr std::size_t maxStoreResponseBytes = 16U << 20;
constexpr unsigned statusOk = 200;

constexpr auto topicNames = enumTable<store_topic>({
    { store_topic::configuration, "configuration" },
    { store_topic::endpoints, "endpoints" },
    { store_topic::nodes, "nodes" },
    { store_topic::quarantine, "quarantine" },
    { store_topic::quotas, "quotas" },
    { store_topic::status, "status" },
    { store_topic::stream_bases, "stream_bases" },
    { store_topic::stream_starts, "stream_starts" },
});

} // namespace

store_follower::store_follower(boost::asio::io_context& context, http_client& client, std::string address, const protocol_codec& codec,
    decision_log& log, follow_options options, handlers callbacks)
    : m_client(client)
    , m_address(std::move(address))
    , m_codec(codec)
    , m_log(log)
    , m_options(options)
    , m_handlers(std::move(callbacks))
    , m_timer(context)
{
}

void store_follower::setReadTiming(duration wait, duration interval)
{
    m_options.wait = wait;
    m_options.interval = interval;
    const auto now = std::chrono::steady_clock::now();
    if (wait < m_waitOfRequest && awaitsAnswerSince(now, now))
        replaceRead();
    // A pause that started with a longer interval must not delay the next read.
    const bool isPausing = m_isReachable && m_isScheduled && !m_needsSnapshot;
    if (isPausing && m_timer.expiry() > now + interval)
        schedule(interval, &store_follower::readLog);
}

bool store_follower::isReceiving(monotonic_time now) const
{
    const auto call = m_call.lock();
    if (m_isScheduled || !call)
        return false;
    const auto last = call->lastReceivedAt();
    return last && now - *last < responseTimeout;
}

bool store_follower::awaitsAnswerSince(monotonic_time since, monotonic_time now) const
{
    return !m_isScheduled && !m_call.expired() && m_readStartedAt <= since && !isReceiving(now);
}

void store_follower::replaceRead()
{
    if (m_isScheduled || m_call.expired())
        return;
    m_log.event("store_read_replaced")
        .field("topic", topicNames.name(m_options.topic))
        .field("waited_ms", wholeMilliseconds(std::chrono::steady_clock::now() - m_readStartedAt))
        .field("offset", m_position.offset);
    abandonRead();
    m_needsNewConnection = true;
    (this->*nextStep())();
}

void store_follower::setRetriesFirstReadOften(bool value)
{
    m_retriesFirstReadOften = value;
    // A delay that has grown must not postpone the next try.
    const bool isWaiting = m_isScheduled && !m_isReachable;
    if (isWaiting && retriesOften() && m_timer.expiry() > std::chrono::steady_clock::now() + firstReadRetryDelay)
        schedule(firstReadRetryDelay, &store_follower::restart);
}

void store_follower::readNow()
{
    if (m_isReachable && m_isScheduled && !m_needsSnapshot)
        schedule({}, &store_follower::readLog);
}

void store_follower::retryNow()
{
    if (!m_isReachable && m_isScheduled)
        schedule({}, nextStep());
}

void store_follower::sendRequest(http_request request, duration wait, std::function<void(const http_response&)> onResponse)
{
    m_waitOfRequest = wait;
    http_call_options options;
    options.connectTimeout = storeConnectTimeout;
    options.idleTimeout = wait + responseTimeout;
    options.totalTimeout = wait + totalResponseTimeout;
    options.maxBodyBytes = maxStoreResponseBytes;
    // The connection of a failed request may never respond again.
    options.reuseConnection = m_isReachable && !std::exchange(m_needsNewConnection, false);
    m_call = m_client.send(m_address, std::move(request), options,
        [self = shared_from_this(), number = ++m_requestNumber, onResponse = std::move(onResponse)](const http_result& result) {
            if (number != self->m_requestNumber)
                return;
            if (!result.ok()) {
                self->onFailure(result.detail);
                return;
            }
            try {
                onResponse(result.response);
            } catch (const error& failure) {
                self->onFailure(failure.what());
            }
        });
}

bool store_follower::changeHistory(std::uint64_t history)
{
    if (history <= m_position.history)
        return false;
    m_log.event("store_history_changed")
        .field("topic", topicNames.name(m_options.topic))
        .field("history", history)
        .field("before", m_position.history)
        .field("offset", m_position.offset);
    m_position = { history, 0 };
    m_isLoaded = false;
    m_goneDelay = {};
    m_handlers.onHistoryChanged(history);
    return true;
}

bool store_follower::isOutdated(const http_response& response) const
{
    const auto history = m_codec.storeHistory(response);
    return history && *history < m_position.history;
}

bool store_follower::seesLaterHistory(const http_response& response)
{
    const auto history = m_codec.storeHistory(response);
    return history && changeHistory(*history);
}

void store_follower::abandonRead()
{
    ++m_requestNumber;
    m_timer.cancel();
    m_isScheduled = false;
    if (const auto call = m_call.lock())
        call->cancel();
    m_call.reset();
}

void store_follower::enterHistory(std::uint64_t history)
{
    const bool isFirstKnown = m_position.history == 0 && !m_isLoaded;
    if (!changeHistory(history) || isFirstKnown)
        return;
    abandonRead();
    restart();
}

void store_follower::skipTo(const log_position& position)
{
    const bool isLater = changeHistory(position.history);
    m_position = std::max(m_position, position);
    m_isLoaded = true;
    if (!isLater)
        return;
    abandonRead();
    schedule({}, &store_follower::readLog);
}

void store_follower::readSnapshot(const std::string& afterKey)
{
    m_needsSnapshot = false;
    if (afterKey.empty()) {
        m_readStartedAt = std::chrono::steady_clock::now();
        m_snapshotRecords.clear();
        m_snapshotEnd.reset();
    }
    sendRequest(m_codec.readSnapshot(m_options.topic, afterKey), {}, [this](const http_response& response) { onSnapshotPage(response); });
}

void store_follower::onSnapshotPage(const http_response& response)
{
    if (response.status != statusOk) {
        onFailure("status " + std::to_string(response.status));
        return;
    }
    const bool isFirstPage = !m_snapshotEnd;
    if (isOutdated(response) || (seesLaterHistory(response) && !isFirstPage)) {
        schedule(minRepeatDelay, &store_follower::restart);
        return;
    }
    auto page = m_codec.decodeSnapshot(response);
    m_snapshotEnd = std::min(m_snapshotEnd.value_or(page.endOffset), page.endOffset);
    std::ranges::move(page.records, std::back_inserter(m_snapshotRecords));
    if (page.hasMore && !page.records.empty()) {
        readSnapshot(m_snapshotRecords.back().key);
        return;
    }
    onSuccess();
    m_isLoaded = true;
    // A copy from a peer may be newer than the snapshot.
    if (*m_snapshotEnd >= m_position.offset) {
        m_position.offset = *m_snapshotEnd;
        m_handlers.onSnapshot(m_snapshotRecords);
    } else {
        m_log.event("store_snapshot_dropped")
            .field("topic", topicNames.name(m_options.topic))
            .field("end", *m_snapshotEnd)
            .field("offset", m_position.offset);
    }
    m_snapshotRecords.clear();
    schedule(m_options.interval, &store_follower::readLog);
}

void store_follower::readLog()
{
    m_readFrom = m_position.offset;
    m_readStartedAt = std::chrono::steady_clock::now();
    sendRequest(m_codec.readLog(m_options.topic, m_position.offset, m_options.wait), m_options.wait,
        [this](const http_response& response) { onLogPage(response); });
}

void store_follower::onLogPage(const http_response& response)
{
    if (isOutdated(response)) {
        schedule(minRepeatDelay, &store_follower::readLog);
        return;
    }
    if (seesLaterHistory(response)) {
        restart();
        return;
    }
    if (m_codec.isOffsetExpired(response)) {
        restartAfterGone();
        return;
    }
    if (response.status != statusOk) {
        onFailure("status " + std::to_string(response.status));
        return;
    }
    auto page = m_codec.decodeLog(response);
    for (std::size_t i = 0; i < page.records.size(); ++i)
        page.records[i].offset = m_readFrom + i;
    onSuccess();
    // A copy from a peer may have advanced the offset during the read; older records would revert it.
    const auto known = std::min<std::uint64_t>(m_position.offset - m_readFrom, page.records.size());
    page.records.erase(page.records.begin(), page.records.begin() + static_cast<std::ptrdiff_t>(known));
    m_position.offset += page.records.size();
    m_goneDelay = {};
    if (!page.records.empty())
        m_handlers.onRecords(page.records);
    const bool isBehind = m_position.offset < page.endOffset;
    schedule(isBehind ? duration {} : m_options.interval, &store_follower::readLog);
}

// What the store says it does not have is not its log; a snapshot that ends before it is then the newest there is.
void store_follower::restartAfterGone()
{
    m_log.event("store_history_gone")
        .field("topic", topicNames.name(m_options.topic))
        .field("offset", m_position.offset)
        .field("delay_ms", wholeMilliseconds(m_goneDelay));
    m_position.offset = 0;
    m_needsSnapshot = true;
    const auto next = std::clamp<duration>(2 * m_goneDelay, minRepeatDelay, maxRepeatDelay);
    schedule(std::exchange(m_goneDelay, next), &store_follower::restart);
}

void store_follower::schedule(duration delay, void (store_follower::*step)())
{
    m_isScheduled = true;
    m_timer.expires_after(delay);
    m_timer.async_wait([self = shared_from_this(), number = ++m_requestNumber, step](boost::system::error_code status) {
        if (status || number != self->m_requestNumber)
            return;
        self->m_isScheduled = false;
        (self.get()->*step)();
    });
}

void store_follower::onSuccess()
{
    const auto now = std::chrono::steady_clock::now();
    const bool isReachedAgain = !std::exchange(m_isReachable, true);
    if (isReachedAgain) {
        const bool wasReachedBefore = m_lastSuccess != monotonic_time {};
        const auto outage = wasReachedBefore ? now - m_lastSuccess : duration {};
        m_log.event("store_reached").field("topic", topicNames.name(m_options.topic)).field("away_ms", wholeMilliseconds(outage));
        if (m_isLoaded && wasReachedBefore)
            m_handlers.onReconnected(outage);
    }
    m_isLossLogged = false;
    m_lastSuccess = now;
    m_asOf = m_readStartedAt;
    if (!isReachedAgain)
        return;
    m_retryPace->reset();
    m_handlers.onReached();
}

void store_follower::onFailure(const std::string& reason)
{
    // A store that has not answered since the start is lost from the first read on.
    if (!std::exchange(m_isLossLogged, true))
        m_log.event("store_lost").field("topic", topicNames.name(m_options.topic)).field("reason", '"' + reason + '"');
    m_isReachable = false;
    const auto delay = m_retryPace->delayAfterFailure(std::chrono::steady_clock::now());
    schedule(retriesOften() ? duration(firstReadRetryDelay) : delay, nextStep());
}

} // namespace carawaylink::gateway
