#pragma once

#include "decision_log.h"
#include "gateway/protocol_codec.h"
#include "http/client.h"
#include "log_position.h"
#include "stream_versions.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace carawaylink::gateway {

/// The store's log of the starts of streams: appends records, and reads those that were appended since the last read. One read at a time.
/// Runs on one event loop.
class stream_store {
public:
    stream_store(boost::asio::io_context& context, std::string address, const protocol_codec& codec, decision_log& log);

    /// Reports whether the store has accepted the record. One that it does not confirm may have been accepted.
    void append(const std::string& record, std::function<void(bool)> onDone);
    /// Reads up to the end of the log, or as far as the store answers.
    void read(std::function<void(const start_records&)> onDone);

private:
    struct read_in_progress {
        start_records result;
        std::function<void(const start_records&)> onDone;
        unsigned pages = 0;
    };

    void readPage();
    void onPage(const http_response& response);
    void finish(bool isComplete);

    std::string m_address;
    const protocol_codec& m_codec;
    decision_log& m_log;
    http_client m_client;
    log_position m_position;
    std::optional<read_in_progress> m_read;
    /// The connection of the last read that failed may never answer.
    bool m_needsNewConnection = false;
};

} // namespace carawaylink::gateway
