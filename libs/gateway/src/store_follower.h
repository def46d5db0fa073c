#pragma once

#include "decision_log.h"
#include "gateway/protocol_codec.h"
#include "http/client.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace carawaylink::gateway {

struct follow_options {
    store_topic topic = store_topic::configuration;
    /// Longest time that the store may keep a read waiting for records; zero for reads at the interval.
    duration wait {};
    duration interval {};
};

/// Follows one topic of the store: first the newest record of each key, then the log. Starts over where the history is gone.
class store_follower : public std::enable_shared_from_this<store_follower> {
public:
    struct handlers {
        /// The newest records of all keys.
        std::function<void(const std::vector<store_record>&)> onNewest;
        std::function<void(const std::vector<store_record>&)> onRecords;
        /// Called before the first records after a time without answers.
        std::function<void(duration away)> onReturned;
    };

    store_follower(boost::asio::io_context& context, http_client& client, std::string address, const protocol_codec& codec,
        decision_log& log, follow_options options, handlers callbacks);

    void start() { readSnapshot({}); }
    bool isReachable() const { return m_isReachable; }
    /// How long the store may keep a read waiting, and the pause between reads; from the next read on.
    void setPace(duration wait, duration interval);
    /// Offset of the log up to which the records are known.
    std::uint64_t offset() const { return m_next; }
    /// When the last read that was answered began.
    monotonic_time asOf() const { return m_asOf; }
    /// Reads now instead of after the pause.
    void readSoon();
    /// Leaves out records that are known otherwise.
    void skipTo(std::uint64_t offset) { m_next = std::max(m_next, offset); }

private:
    void call(http_request request, std::function<void(const http_response&)> onAnswer);
    void readSnapshot(const std::string& afterKey);
    void newestArrived(const http_response& response);
    void readLog();
    void logArrived(const http_response& response);
    void schedule(duration delay, void (store_follower::*step)());
    void restart() { readSnapshot({}); }
    void failed(const std::string& reason);
    void succeeded();

    http_client& m_client;
    std::string m_address;
    const protocol_codec& m_codec;
    decision_log& m_log;
    follow_options m_options;
    handlers m_handlers;
    boost::asio::steady_timer m_timer;
    std::vector<store_record> m_pages;
    std::optional<std::uint64_t> m_smallestEnd;
    std::uint64_t m_next = 0;
    std::uint64_t m_readFrom = 0;
    bool m_isLoaded = false;
    bool m_isReachable = false;
    bool m_isScheduled = false;
    monotonic_time m_lastSuccess {};
    monotonic_time m_readBegan {};
    monotonic_time m_asOf {};
};

} // namespace carawaylink::gateway
