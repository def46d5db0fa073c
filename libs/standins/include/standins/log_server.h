#pragma once

#include "standins/history.h"
#include "standins/log_model.h"

#include <memory>
#include <string>

namespace carawaylink {

/// The append-only log and the weight store behind HTTP, on a thread of its own.
class log_server {
public:
    log_server(log_options options, std::shared_ptr<history_writer> history);
    ~log_server();
    log_server(const log_server&) = delete;
    log_server& operator=(const log_server&) = delete;

    /// Listens on "ip:port"; port 0 takes a free one. Returns the address in use. Throws error(unavailable).
    std::string listen(const std::string& address);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace carawaylink
