#include "stream_store.h"

#include "base/error.h"

#include <algorithm>
#include <utility>

namespace carawaylink::gateway {

namespace {

constexpr unsigned statusOk = 200;
constexpr auto storeConnectTimeout = std::chrono::milliseconds(300);
// A caller waits for the answer; a slow store takes a quarter of a second.
constexpr auto readTimeout = std::chrono::milliseconds(450);
constexpr auto appendTimeout = std::chrono::milliseconds(1200);
constexpr std::size_t maxResponseBytes = 4U << 20;
// Guards against a store that always says that there is more.
constexpr unsigned maxPages = 200;

} // namespace

stream_store::stream_store(boost::asio::io_context& context, std::string address, const protocol_codec& codec, decision_log& log)
    : m_address(std::move(address))
    , m_codec(codec)
    , m_log(log)
    , m_client(context)
{
}

void stream_store::append(const std::string& record, std::function<void(bool)> onDone)
{
    http_call_options options;
    options.connectTimeout = storeConnectTimeout;
    options.idleTimeout = appendTimeout;
    options.totalTimeout = appendTimeout;
    options.maxBodyBytes = maxResponseBytes;
    m_client.send(m_address, m_codec.publish(store_topic::stream_starts, "", record), options,
        [onDone = std::move(onDone)](const http_result& result) { onDone(result.ok() && result.response.status == statusOk); });
}

void stream_store::read(std::function<void(const start_records&)> onDone)
{
    m_read = read_in_progress { {}, std::move(onDone) };
    readPage();
}

void stream_store::readPage()
{
    if (++m_read->pages > maxPages) {
        finish(false);
        return;
    }
    http_call_options options;
    options.connectTimeout = storeConnectTimeout;
    options.idleTimeout = readTimeout;
    options.totalTimeout = readTimeout;
    options.maxBodyBytes = maxResponseBytes;
    options.reuseConnection = !std::exchange(m_needsNewConnection, false);
    m_client.send(
        m_address, m_codec.readLog(store_topic::stream_starts, m_position.offset, {}), options, [this](const http_result& result) {
            if (!result.ok()) {
                m_log.event("stream_starts_unread").field("detail", '"' + result.detail + '"');
                finish(false);
                return;
            }
            try {
                onPage(result.response);
            } catch (const error& failure) {
                m_log.event("stream_starts_unread").field("detail", '"' + std::string(failure.what()) + '"');
                finish(false);
            }
        });
}

void stream_store::onPage(const http_response& response)
{
    const auto history = m_codec.storeHistory(response).value_or(m_position.history);
    // A late answer of an earlier history.
    if (history < m_position.history) {
        readPage();
        return;
    }
    if (history > m_position.history) {
        const bool wasKnown = std::exchange(m_position, { history, 0 }).offset > 0;
        if (wasKnown) {
            readPage();
            return;
        }
    }
    if (m_codec.isOffsetExpired(response)) {
        m_position.offset = m_codec.firstOffset(response).value_or(0);
        readPage();
        return;
    }
    if (response.status != statusOk) {
        m_log.event("stream_starts_unread").field("status", response.status);
        finish(false);
        return;
    }
    auto page = m_codec.decodeLog(response);
    for (auto& record : page.records) {
        if (record.value)
            m_read->result.records.push_back(std::move(*record.value));
    }
    m_position.offset += page.records.size();
    if (!page.records.empty() && m_position.offset < page.endOffset)
        readPage();
    else
        finish(true);
}

void stream_store::finish(bool isComplete)
{
    m_needsNewConnection = !isComplete;
    auto done = std::move(*m_read);
    m_read.reset();
    done.result.isComplete = isComplete;
    done.onDone(done.result);
}

} // namespace carawaylink::gateway
