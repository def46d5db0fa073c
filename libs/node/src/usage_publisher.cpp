#include "usage_publisher.h"

#include "base/error.h"
#include "base/log.h"
#include "platform_log.h"

namespace carawaylink {

namespace {
constexpr std::string_view usageStream = "usage";
constexpr auto logTimeout = std::chrono::seconds(2);
} // namespace

usage_publisher::usage_publisher(
    boost::asio::io_context& context, process_identity self, usage_publisher_settings settings, std::function<bool()> isCompactor)
    : m_context(context)
    , m_self(self)
    , m_settings(std::move(settings))
    , m_isCompactor(std::move(isCompactor))
    , m_client(context)
    , m_ledger(std::move(self))
    , m_flushTask(context, m_settings.flushInterval, [this] { flush(); })
    , m_compactTask(context, m_settings.compactInterval, [this] {
        if (!m_isCompactor())
            return;
        // Records of ended processes would fall out of the log's retention; one node appends them again.
        readAll([this](bool complete) {
            if (complete)
                append(true, {});
        });
    })
{
}

usage_publisher::~usage_publisher()
{
    *m_alive = false;
}

void usage_publisher::flush(std::function<void()> callback)
{
    if (m_ledger.consumeChanged())
        append(false, std::move(callback));
    else if (callback)
        callback();
}

void usage_publisher::append(bool compact, std::function<void()> callback)
{
    http_call_options options;
    options.idleTimeout = logTimeout;
    const auto id = "usage-" + std::to_string(m_self.run.value) + "-" + std::to_string(++m_sequence);
    m_client.send(m_settings.logAddress, appendRequest(usageStream, id, m_ledger.encode(compact)), options,
        [id, callback = std::move(callback)](const http_result& result) {
            // Totals are cumulative: the next flush includes what a failed one did not deliver.
            if (!result.ok() || result.response.status != 200)
                log_event("usage_append_failed", log_level::warning)
                    .field("id", id)
                    .field("status", result.response.status)
                    .field("detail", result.detail);
            if (callback)
                callback();
        });
}

void usage_publisher::readAll(std::function<void(bool)> callback)
{
    readPage(std::move(callback));
}

void usage_publisher::readPage(std::function<void(bool)> callback)
{
    http_call_options options;
    options.idleTimeout = logTimeout;
    m_client.send(m_settings.logAddress, { "GET", readTarget(usageStream, m_next, duration::zero()), {}, {} }, options,
        [this, alive = m_alive, callback = std::move(callback)](const http_result& result) {
            if (!*alive)
                return;
            if (!result.ok() || (result.response.status != 200 && result.response.status != 410)) {
                callback(false);
                return;
            }
            try {
                const auto page = parseLogPage(result.response.body);
                for (const auto& record : page.records)
                    m_ledger.merge(record.data);
                const bool atEnd = page.records.empty() && result.response.status == 200;
                m_next = page.records.empty() ? std::max(page.first, m_next) : log_offset(page.records.back().offset.value + 1);
                if (atEnd)
                    callback(true);
                else
                    readPage(callback);
            } catch (const error& failure) {
                log_event("usage_record_malformed", log_level::warning).field("error", failure.what());
                callback(false);
            }
        });
}

} // namespace carawaylink
