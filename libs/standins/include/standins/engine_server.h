#pragma once

#include "standins/engine_model.h"
#include "standins/history.h"

#include <memory>
#include <string>

namespace carawaylink {

struct engine_server_options {
    engine_options engine;
    /// "ip:port" of the weight store, called by load_model orders; empty for none.
    std::string weightStore;
    /// Shortest time between two writes of a stream; iterations that are shorter share one write.
    duration tick = std::chrono::microseconds(500);
};

/// An engine model behind HTTP, on a thread of its own.
class engine_server {
public:
    engine_server(engine_server_options options, std::shared_ptr<history_writer> history);
    ~engine_server();
    engine_server(const engine_server&) = delete;
    engine_server& operator=(const engine_server&) = delete;

    /// Listens on "ip:port"; port 0 takes a free one. Returns the address in use. Throws error(unavailable).
    std::string listen(const std::string& address);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace carawaylink
