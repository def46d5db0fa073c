#include "standins/vm_list_server.h"

#include "server_core.h"

#include <algorithm>
#include <boost/json.hpp>

namespace carawaylink {

namespace json = boost::json;

namespace {

constexpr std::string_view vmsPath = "/vms/";

vm_entry readEntry(const json::value& value)
{
    if (!value.is_object())
        throw error(error_kind::invalid_argument, "a vm is not a JSON object", "send {\"address\":..,\"role\":..,\"state\":..}");
    const auto& object = value.get_object();
    const auto text = [&](std::string_view name, bool required) {
        const auto* const member = object.if_contains(name);
        if (!member && !required)
            return std::string();
        if (!member || !member->is_string())
            throw error(error_kind::invalid_argument, "field \"" + std::string(name) + "\" is missing or not a string", "give a string");
        return std::string(member->get_string());
    };
    vm_entry entry { text("address", true), text("role", true), text("service", false), text("state", true),
        text("failure_domain", false) };
    if (entry.role != "node" && entry.role != "endpoint")
        throw error(error_kind::invalid_argument, "role \"" + entry.role + "\" is unknown", "use node or endpoint");
    if (entry.state != "live" && entry.state != "leaving")
        throw error(error_kind::invalid_argument, "state \"" + entry.state + "\" is unknown", "use live or leaving");
    return entry;
}

/// Reads one entry, a list of entries, or {"vms":[..]}.
std::vector<vm_entry> readEntries(std::string_view body)
{
    boost::system::error_code failure;
    const json::value document = json::parse(body, failure);
    if (failure)
        throw error(error_kind::invalid_argument, "the body is not JSON", "send {\"vms\":[..]}");
    const auto* list = &document;
    if (document.is_object() && document.get_object().contains("vms"))
        list = &document.get_object().at("vms");
    if (!list->is_array())
        return { readEntry(*list) };
    std::vector<vm_entry> entries;
    std::ranges::transform(list->get_array(), std::back_inserter(entries), readEntry);
    return entries;
}

json::object writeEntry(const vm_entry& entry)
{
    return { { "address", entry.address }, { "role", entry.role }, { "service", entry.service }, { "state", entry.state },
        { "failure_domain", entry.failureDomain } };
}

} // namespace

struct vm_list_server::implementation {
    implementation(vm_list_server_options options, std::shared_ptr<history_writer> historyWriter)
        : history(std::move(historyWriter))
        , model(options.seed, std::chrono::steady_clock::now())
        , core({ .handle = [this](const http_request& request, const reply_pointer& answer) { handle(request, answer); },
              .faults = [this] { return model.faults().toJson(); },
              .applyFaults = [this](std::string_view changes) { model.applyFaults(std::chrono::steady_clock::now(), changes); },
              .paused = [this] { return model.faults().on(vm_list_fault::pause); },
              .silent = [this] { return model.faults().on(vm_list_fault::silent_connections); } })
    {
        for (auto& entry : options.entries)
            model.put(std::chrono::steady_clock::now(), std::move(entry));
    }

    ~implementation() { core.stop(); }

    void handle(const http_request& request, const reply_pointer& answer)
    {
        const auto now = std::chrono::steady_clock::now();
        const auto path = request.path();
        if (request.method == "GET" && path == "/vms")
            list(now, answer);
        else if (request.method == "POST" && path == "/vms")
            change(now, request, answer);
        else if (request.method == "DELETE" && path.starts_with(vmsPath))
            remove(now, std::string(path.substr(vmsPath.size())), answer);
        else
            answer->send(errorAnswer(404, "not_found", "no such route: " + request.method + " " + std::string(path)));
    }

    void list(monotonic_time now, const reply_pointer& answer)
    {
        if (model.faults().on(vm_list_fault::down)) {
            answer->send(errorAnswer(503, "vm_list_down", "the list of vms is down"));
            return;
        }
        json::array entries;
        std::ranges::transform(model.list(now), std::back_inserter(entries), writeEntry);
        answer->send(jsonResponse(200, json::serialize(json::object { { "vms", std::move(entries) } })));
    }

    void change(monotonic_time now, const http_request& request, const reply_pointer& answer)
    {
        auto entries = readEntries(request.body);
        const auto count = entries.size();
        for (auto& entry : entries) {
            record(now, "changed", writeEntry(entry));
            model.put(now, std::move(entry));
        }
        answer->send(jsonResponse(200, json::serialize(json::object { { "changed", count } })));
    }

    void remove(monotonic_time now, const std::string& address, const reply_pointer& answer)
    {
        if (!model.remove(now, address)) {
            answer->send(errorAnswer(404, "unknown_vm", "no vm has the address " + address));
            return;
        }
        record(now, "removed", { { "address", address } });
        answer->send(jsonResponse(200, R"({"removed":true})"));
    }

    void record(monotonic_time now, std::string_view event, json::object line)
    {
        if (!history->enabled())
            return;
        line["source"] = "vms";
        line["t_us"] = steadyMicroseconds(now);
        line["event"] = event;
        history->append(json::serialize(line));
    }

    std::shared_ptr<history_writer> history;
    vm_list_model model;
    server_core core;
};

vm_list_server::vm_list_server(vm_list_server_options options, std::shared_ptr<history_writer> history)
    : m_implementation(std::make_unique<implementation>(std::move(options), std::move(history)))
{
}

vm_list_server::~vm_list_server() = default;

std::string vm_list_server::listen(const std::string& address)
{
    return m_implementation->core.listen(address);
}

} // namespace carawaylink
