#pragma once

#include "decision_log.h"
#include "gateway/protocol_codec.h"
#include "http/client.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <utility>

namespace carawaylink::gateway {

struct follow_options {
    store_topic topic = store_topic::configuration;
    /// Maximum long-poll time of a read; zero disables long polling, so that reads follow the interval only.
    duration wait {};
    duration interval {};
};

/// Follows one topic of the store: reads a snapshot, then the log. Starts over if the store no longer retains the offset.
class store_follower : public std::enable_shared_from_this<store_follower> {
public:
    struct handlers {
        /// Receives the newest record of each key.
        std::function<void(const std::vector<store_record>&)> onSnapshot;
        std::function<void(const std::vector<store_record>&)> onRecords;
        /// Called before the first records after an outage of the store.
        std::function<void(duration outage)> onReconnected;
    };

    store_follower(boost::asio::io_context& context, http_client& client, std::string address, const protocol_codec& codec,
        decision_log& log, follow_options options, handlers callbacks);

    void start() { readSnapshot({}); }
    bool isReachable() const { return m_isReachable; }
    /// Sets the long-poll time and the interval between reads, effective from the next read.
    void setReadTiming(duration wait, duration interval);
    /// Log offset up to which records are known.
    std::uint64_t offset() const { return m_nextOffset; }
    /// Start time of the last successful read.
    monotonic_time asOf() const { return m_asOf; }
    /// Starts the next read now if one is scheduled.
    void readNow();
    /// Skips records before this offset, which are known from another source.
    void skipTo(std::uint64_t offset) { m_nextOffset = std::max(m_nextOffset, offset); }

private:
    /// Logs a history of the store that differs from the one of the answer before.
    void logHistory(const http_response& response);
    void sendRequest(http_request request, std::function<void(const http_response&)> onResponse);
    void readSnapshot(const std::string& afterKey);
    void onSnapshotPage(const http_response& response);
    void readLog();
    void onLogPage(const http_response& response);
    void schedule(duration delay, void (store_follower::*step)());
    void restart() { readSnapshot({}); }
    void onFailure(const std::string& reason);
    void onSuccess();

    http_client& m_client;
    std::string m_address;
    const protocol_codec& m_codec;
    decision_log& m_log;
    follow_options m_options;
    handlers m_handlers;
    boost::asio::steady_timer m_timer;
    std::vector<store_record> m_snapshotRecords;
    std::optional<std::uint64_t> m_snapshotEnd;
    std::uint64_t m_history = 0;
    std::uint64_t m_nextOffset = 0;
    std::uint64_t m_readFrom = 0;
    duration m_retryDelay;
    bool m_isLoaded = false;
    bool m_isReachable = false;
    bool m_isScheduled = false;
    monotonic_time m_lastSuccess {};
    monotonic_time m_readStartedAt {};
    monotonic_time m_asOf {};
};

} // namespace carawaylink::gateway
