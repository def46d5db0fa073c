#pragma once

#include "standins/history.h"
#include "standins/service_model.h"

#include <memory>
#include <string>

namespace carawaylink {

struct service_server_options {
    std::string name = "service";
    std::uint64_t seed = 1;
};

/// A plain service behind HTTP, on a thread of its own.
class service_server {
public:
    service_server(service_server_options options, std::shared_ptr<history_writer> history);
    ~service_server();
    service_server(const service_server&) = delete;
    service_server& operator=(const service_server&) = delete;

    /// Listens on "ip:port"; port 0 takes a free one. Returns the address in use. Throws error(unavailable).
    std::string listen(const std::string& address);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace carawaylink
