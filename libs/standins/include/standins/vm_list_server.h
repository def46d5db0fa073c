#pragma once

#include "standins/history.h"
#include "standins/vm_list_model.h"

#include <memory>
#include <string>

namespace carawaylink {

struct vm_list_server_options {
    std::uint64_t seed = 1;
    std::vector<vm_entry> entries;
};

/// The list of vms behind HTTP, on a thread of its own.
class vm_list_server {
public:
    vm_list_server(vm_list_server_options options, std::shared_ptr<history_writer> history);
    ~vm_list_server();
    vm_list_server(const vm_list_server&) = delete;
    vm_list_server& operator=(const vm_list_server&) = delete;

    /// Listens on "ip:port"; port 0 takes a free one. Returns the address in use. Throws error(unavailable).
    std::string listen(const std::string& address);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace carawaylink
