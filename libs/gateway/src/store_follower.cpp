#include "store_follower.h"

#include "base/error.h"

namespace carawaylink::gateway {

namespace {

// Allowed beyond the wait that was asked for; a connection that went silent is given up then.
constexpr auto answerLimit = std::chrono::milliseconds(900);
constexpr auto connectLimit = std::chrono::milliseconds(500);
constexpr auto retryPause = std::chrono::milliseconds(250);
constexpr unsigned statusOk = 200;

constexpr auto topicNames = enumTable<store_topic>({
    { store_topic::configuration, "configuration" },
    { store_topic::endpoints, "endpoints" },
    { store_topic::nodes, "nodes" },
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

void store_follower::setPace(duration wait, duration interval)
{
    m_options.wait = wait;
    m_options.interval = interval;
    // A pause that began at a slower pace must not delay the next read.
    const bool isPausing = m_isReachable && m_isScheduled;
    if (isPausing && m_timer.expiry() > std::chrono::steady_clock::now() + interval)
        schedule(interval, &store_follower::readLog);
}

void store_follower::readSoon()
{
    if (m_isReachable && m_isScheduled)
        schedule({}, &store_follower::readLog);
}

void store_follower::call(http_request request, std::function<void(const http_response&)> onAnswer)
{
    http_call_options options;
    options.connectTimeout = connectLimit;
    options.idleTimeout = m_options.wait + answerLimit;
    // The connection of a failed call may be silent for good.
    options.reuseConnection = m_isReachable;
    m_client.send(
        m_address, std::move(request), options, [self = shared_from_this(), onAnswer = std::move(onAnswer)](const http_result& result) {
            if (!result.ok()) {
                self->failed(result.detail);
                return;
            }
            try {
                onAnswer(result.response);
            } catch (const error& failure) {
                self->failed(failure.what());
            }
        });
}

void store_follower::readSnapshot(const std::string& afterKey)
{
    if (afterKey.empty()) {
        m_readBegan = std::chrono::steady_clock::now();
        m_pages.clear();
        m_smallestEnd.reset();
    }
    call(m_codec.readSnapshot(m_options.topic, afterKey), [this](const http_response& response) { newestArrived(response); });
}

void store_follower::newestArrived(const http_response& response)
{
    if (response.status != statusOk) {
        failed("status " + std::to_string(response.status));
        return;
    }
    auto page = m_codec.decodeSnapshot(response);
    m_smallestEnd = std::min(m_smallestEnd.value_or(page.end), page.end);
    std::ranges::move(page.records, std::back_inserter(m_pages));
    if (page.more && !page.records.empty()) {
        readSnapshot(m_pages.back().key);
        return;
    }
    succeeded();
    m_isLoaded = true;
    // A copy from a peer may be newer than the pages.
    if (*m_smallestEnd >= m_next) {
        m_next = *m_smallestEnd;
        m_handlers.onNewest(m_pages);
    }
    m_pages.clear();
    schedule(m_options.interval, &store_follower::readLog);
}

void store_follower::readLog()
{
    m_readFrom = m_next;
    m_readBegan = std::chrono::steady_clock::now();
    call(m_codec.readLog(m_options.topic, m_next, m_options.wait), [this](const http_response& response) { logArrived(response); });
}

void store_follower::logArrived(const http_response& response)
{
    if (m_codec.isOffsetExpired(response)) {
        m_log.event("store_history_gone").field("topic", topicNames.name(m_options.topic)).field("offset", m_next);
        restart();
        return;
    }
    if (response.status != statusOk) {
        failed("status " + std::to_string(response.status));
        return;
    }
    auto page = m_codec.decodeLog(response);
    succeeded();
    // A copy from a peer may have moved the offset while the read was under way; older records would undo it.
    const auto known = std::min<std::uint64_t>(m_next - m_readFrom, page.records.size());
    page.records.erase(page.records.begin(), page.records.begin() + static_cast<std::ptrdiff_t>(known));
    m_next += page.records.size();
    if (!page.records.empty())
        m_handlers.onRecords(page.records);
    const bool isBehind = m_next < page.end;
    schedule(isBehind ? duration {} : m_options.interval, &store_follower::readLog);
}

void store_follower::schedule(duration delay, void (store_follower::*step)())
{
    m_isScheduled = true;
    m_timer.expires_after(delay);
    m_timer.async_wait([self = shared_from_this(), step](boost::system::error_code status) {
        if (status)
            return;
        self->m_isScheduled = false;
        (self.get()->*step)();
    });
}

void store_follower::succeeded()
{
    const auto now = std::chrono::steady_clock::now();
    if (!m_isReachable) {
        const auto away = m_lastSuccess == monotonic_time {} ? duration {} : now - m_lastSuccess;
        m_log.event("store_reached")
            .field("topic", topicNames.name(m_options.topic))
            .field("away_ms", std::chrono::duration_cast<std::chrono::milliseconds>(away).count());
        if (m_isLoaded)
            m_handlers.onReturned(away);
    }
    m_isReachable = true;
    m_lastSuccess = now;
    m_asOf = m_readBegan;
}

void store_follower::failed(const std::string& reason)
{
    if (m_isReachable)
        m_log.event("store_lost").field("topic", topicNames.name(m_options.topic)).field("reason", '"' + reason + '"');
    m_isReachable = false;
    schedule(retryPause, m_isLoaded ? &store_follower::readLog : &store_follower::restart);
}

} // namespace carawaylink::gateway
