#pragma once

#include "http/client.h"
#include "mesh/periodic_task.h"
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

/// Publishes this process's usage to the log stream "usage" and reads the records of other processes. A node that crashes loses at most
/// the usage since its last flush. Runs on the control thread.
class usage_publisher {
public:
    usage_publisher(
        boost::asio::io_context& context, process_identity self, usage_publisher_settings settings, std::function<bool()> isCompactor);
    ~usage_publisher();

    usage_ledger& ledger() { return m_ledger; }
    /// Appends the totals if they changed; the callback runs after the log has responded or the request has failed.
    void flush(std::function<void()> callback = {});
    /// Reads the stream to its end, then calls back with true, or with false if a read failed or a record is malformed.
    void readAll(std::function<void(bool)> callback);

private:
    void append(bool compact, std::function<void()> callback);
    void readPage(std::function<void(bool)> callback);

    boost::asio::io_context& m_context;
    process_identity m_self;
    usage_publisher_settings m_settings;
    std::function<bool()> m_isCompactor;
    http_client m_client;
    usage_ledger m_ledger;
    log_offset m_next;
    std::uint64_t m_sequence = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    periodic_task m_flushTask;
    periodic_task m_compactTask;
};

} // namespace carawaylink
