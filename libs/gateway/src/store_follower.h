#pragma once

#include "decision_log.h"
#include "gateway/protocol_codec.h"
#include "http/client.h"
#include "log_position.h"
#include "store_retry_pace.h"

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

/// Follows one topic of the store: reads a snapshot, then the log. Starts over if the store does not have the offset, or has come back from
/// an older copy.
class store_follower : public std::enable_shared_from_this<store_follower> {
public:
    struct handlers {
        /// Receives the newest record of each key.
        std::function<void(const std::vector<store_record>&)> onSnapshot;
        std::function<void(const std::vector<store_record>&)> onRecords;
        /// Called before the first records after an outage of the store.
        std::function<void(duration outage)> onReconnected;
        /// Called when a later history of the store is seen, before any of its records.
        std::function<void(std::uint64_t history)> onHistoryChanged = [](std::uint64_t) {};
        /// The store answers for the first time, or again after an outage.
        std::function<void()> onReached = [] {};
    };

    store_follower(boost::asio::io_context& context, http_client& client, std::string address, const protocol_codec& codec,
        decision_log& log, follow_options options, handlers callbacks);

    void start() { restart(); }
    /// Spaces the retries together with those of other followers.
    void shareRetryPace(std::shared_ptr<store_retry_pace> pace) { m_retryPace = std::move(pace); }
    bool isReachable() const { return m_isReachable; }
    /// Sets the long-poll time and the interval between reads. A read that waits at the store for longer than the new time is replaced.
    void setReadTiming(duration wait, duration interval);
    /// Sets whether a topic that was never loaded is read again after the shortest delay instead of a growing one.
    void setRetriesFirstReadOften(bool value);
    /// Position in the log up to which records are known.
    const log_position& position() const { return m_position; }
    /// Whether the records up to the position are known; not the case until the first snapshot of a history.
    bool isLoaded() const { return m_isLoaded; }
    /// Start time of the last successful read.
    monotonic_time asOf() const { return m_asOf; }
    /// Start time of the latest read, which may be in progress.
    monotonic_time readStartedAt() const { return m_readStartedAt; }
    /// Whether a read is in progress whose answer arrives.
    bool isReceiving(monotonic_time now) const;
    /// Whether a read is in progress that began before this time and whose answer does not arrive.
    bool awaitsAnswerSince(monotonic_time since, monotonic_time now) const;
    /// Repeats the read in progress on a new connection, because its own may never answer.
    void replaceRead();
    /// Starts the next read now if one is scheduled.
    void readNow();
    /// Repeats a read that failed now, because the store answers others.
    void retryNow();
    /// Skips records before this position, which are known from another source.
    void skipTo(const log_position& position);
    /// The store has this history, which another source tells; starts over if it is later than the one followed.
    void enterHistory(std::uint64_t history);

private:
    /// wait: time for which the store may hold the response back.
    void sendRequest(http_request request, duration wait, std::function<void(const http_response&)> onResponse);
    /// Follows the history from its start; returns false if it is not later than the one followed.
    bool changeHistory(std::uint64_t history);
    /// Whether the response belongs to an earlier history and arrived late.
    bool isOutdated(const http_response& response) const;
    /// Changes to the history of the response; returns whether it is later than the one followed.
    bool seesLaterHistory(const http_response& response);
    void readSnapshot(const std::string& afterKey);
    void onSnapshotPage(const http_response& response);
    void readLog();
    void onLogPage(const http_response& response);
    void schedule(duration delay, void (store_follower::*step)());
    void restart() { readSnapshot({}); }
    auto nextStep() const { return m_isLoaded ? &store_follower::readLog : &store_follower::restart; }
    /// Reads a snapshot because the store does not have the offset; at once the first time, later each time with a longer delay.
    void restartAfterGone();
    /// Cancels the request in progress.
    void abandonRead();
    bool retriesOften() const { return m_retriesFirstReadOften && !m_isLoaded && m_lastSuccess == monotonic_time {}; }
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
    log_position m_position;
    std::uint64_t m_readFrom = 0;
    /// Number of the request or pause in progress; what earlier ones lead to is ignored.
    std::uint64_t m_requestNumber = 0;
    /// The request in progress, which holds this object until it is done.
    std::weak_ptr<http_call> m_call;
    /// Long-poll time of the latest request.
    duration m_waitOfRequest {};
    /// The next request may not use a connection that was open before.
    bool m_needsNewConnection = false;
    /// Delay before the next snapshot if the store does not have the offset again.
    duration m_goneDelay {};
    std::shared_ptr<store_retry_pace> m_retryPace = std::make_shared<store_retry_pace>();
    bool m_isLoaded = false;
    bool m_isReachable = false;
    /// The log has a line for the current outage.
    bool m_isLossLogged = false;
    bool m_isScheduled = false;
    /// The store does not have the offset, and the next read has to be a snapshot.
    bool m_needsSnapshot = false;
    bool m_retriesFirstReadOften = false;
    monotonic_time m_lastSuccess {};
    monotonic_time m_readStartedAt {};
    monotonic_time m_asOf {};
};

} // namespace carawaylink::gateway
