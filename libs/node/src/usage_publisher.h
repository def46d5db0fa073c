#pragma once

#include "http/client.h"
#include "periodic_task.h"
#include "usage_ledger.h"

#include <functional>
#include <memory>
#include <string>

namespace carawaylink {

struct usage_publisher_settings {
    std::string logAddress;
    duration flushInterval = std::chrono::seconds(5);
    duration compactInterval = std::chrono::minutes(10);
};

/// Publishes this process' usage to the log stream "usage" and reads what others published. A node that dies loses at most
/// what it used since its last flush. Runs on the control thread.
class usage_publisher {
public:
    usage_publisher(
        boost::asio::io_context& context, process_identity self, usage_publisher_settings settings, std::function<bool()> compactsForAll);
    ~usage_publisher();

    usage_ledger& ledger() { return m_ledger; }
    /// Appends the totals where they changed; the callback runs when the log has answered or failed to.
    void flush(std::function<void()> callback = {});
    /// Reads the stream up to its end, then calls back; false where the log did not answer.
    void readAll(std::function<void(bool)> callback);

private:
    void append(bool compact, std::function<void()> callback);
    void readPage(std::function<void(bool)> callback);

    boost::asio::io_context& m_context;
    process_identity m_self;
    usage_publisher_settings m_settings;
    std::function<bool()> m_compactsForAll;
    http_client m_client;
    usage_ledger m_ledger;
    log_offset m_next;
    std::uint64_t m_sequence = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    periodic_task m_flushTask;
    periodic_task m_compactTask;
};

} // namespace carawaylink
