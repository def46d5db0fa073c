#include "endpoint_directory.h"

#include "base/error.h"
#include "base/log.h"
#include "mesh/periodic_task.h"

#include <algorithm>
#include <boost/json.hpp>

namespace carawaylink {

namespace json = boost::json;

namespace {

// Single answers of the list of vms may omit live entries.
constexpr std::size_t maxMissedPolls = 20;
constexpr std::size_t plainMaxRunning = 64;
constexpr auto describeRetryInterval = std::chrono::milliseconds(500);
constexpr std::int64_t defaultCacheTokens = 100000;

std::string stringField(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::int64_t integerField(const json::object& object, std::string_view key, std::int64_t fallback)
{
    const auto* value = object.if_contains(key);
    boost::system::error_code status;
    const auto result = value ? value->to_number<std::int64_t>(status) : fallback;
    return status ? fallback : result;
}

bool isAddress(const std::string& address)
{
    try {
        parseAddress(address);
        return true;
    } catch (const error&) {
        return false;
    }
}

} // namespace

endpoint_directory::endpoint_directory(boost::asio::io_context& context, endpoint_directory_settings settings, handlers callbacks)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_handlers(std::move(callbacks))
    , m_client(context)
{
}

endpoint_directory::~endpoint_directory()
{
    *m_alive = false;
}

void endpoint_directory::start()
{
    poll();
    m_task = std::make_unique<periodic_task>(m_context, m_settings.pollInterval, [this] { poll(); });
}

void endpoint_directory::setPlainServices(std::set<service_id> services)
{
    m_plainServices = std::move(services);
    for (auto& [id, entry] : m_endpoints) {
        if (m_plainServices.contains(entry.service)) {
            entry.description.maxRunning = plainMaxRunning;
            entry.described = true;
        }
    }
}

void endpoint_directory::markLeaving(const endpoint_id& endpoint)
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end() || std::exchange(found->second.leaving, true))
        return;
    log_event("endpoint_leaving").field("endpoint", endpoint).field("service", found->second.service);
    m_handlers.onLeaving(endpoint);
}

std::set<endpoint_id> endpoint_directory::leaving() const
{
    std::set<endpoint_id> result;
    for (const auto& [id, entry] : m_endpoints) {
        if (entry.leaving)
            result.insert(id);
    }
    return result;
}

void endpoint_directory::poll()
{
    if (std::exchange(m_polling, true))
        return;
    http_call_options options;
    options.idleTimeout = std::chrono::seconds(2);
    m_client.send(m_settings.vmListAddress, { "GET", "/vms", {}, {} }, options, [this, alive = m_alive](const http_result& result) {
        if (!*alive)
            return;
        m_polling = false;
        if (result.ok() && result.response.status == 200)
            applyVmList(result.response.body);
    });
}

void endpoint_directory::applyVmList(const std::string& body)
{
    boost::system::error_code status;
    const auto document = json::parse(body, status);
    if (status || !document.is_object() || !document.as_object().if_contains("vms") || !document.at("vms").is_array()) {
        log_event("vm_list_malformed", log_level::warning).field("error", status.message());
        return;
    }
    std::set<endpoint_id> seen;
    std::vector<node_id> nodes;
    bool changed = false;
    for (const auto& value : document.at("vms").as_array()) {
        if (!value.is_object())
            continue;
        const auto& vm = value.as_object();
        const auto address = stringField(vm, "address");
        if (!isAddress(address)) {
            log_event("vm_list_entry_ignored", log_level::warning).field("address", address);
            continue;
        }
        if (stringField(vm, "role") == "node") {
            nodes.push_back(node_id(address));
            continue;
        }
        const endpoint_id id(address);
        seen.insert(id);
        auto [entry, added] = m_endpoints.try_emplace(id);
        entry->second.missedPolls = 0;
        if (added) {
            changed = true;
            entry->second.service = service_id(stringField(vm, "service"));
            entry->second.description.id = id;
            entry->second.description.domain = failure_domain(stringField(vm, "failure_domain"));
            entry->second.description.maxRunning = plainMaxRunning;
            entry->second.described = m_plainServices.contains(entry->second.service);
        }
        if (stringField(vm, "state") == "leaving")
            markLeaving(id);
    }
    for (auto entry = m_endpoints.begin(); entry != m_endpoints.end();) {
        if (!seen.contains(entry->first) && ++entry->second.missedPolls >= maxMissedPolls) {
            entry = m_endpoints.erase(entry);
            changed = true;
        } else {
            ++entry;
        }
    }
    const auto now = std::chrono::steady_clock::now();
    for (auto& [id, entry] : m_endpoints) {
        if (!entry.described && now >= entry.nextDescribeTime) {
            entry.nextDescribeTime = now + describeRetryInterval;
            describe(id);
        }
    }
    if (!nodes.empty())
        m_handlers.onNodes(nodes);
    if (changed)
        m_handlers.onChange();
}

void endpoint_directory::fetchObject(
    const endpoint_id& endpoint, const std::string& target, std::function<void(directory_endpoint&, const json::object&)> handle)
{
    http_call_options options;
    options.idleTimeout = std::chrono::seconds(2);
    m_client.send(endpoint.value, { "GET", target, {}, {} }, options,
        [this, alive = m_alive, endpoint, handle = std::move(handle)](const http_result& result) {
            if (!*alive || !result.ok() || result.response.status != 200)
                return;
            const auto found = m_endpoints.find(endpoint);
            boost::system::error_code status;
            const auto document = json::parse(result.response.body, status);
            if (found != m_endpoints.end() && !status && document.is_object())
                handle(found->second, document.as_object());
        });
}

void endpoint_directory::describe(const endpoint_id& endpoint)
{
    fetchObject(endpoint, "/state", [this, endpoint](directory_endpoint& entry, const json::object& state) {
        entry.description.generation = stringField(state, "generation");
        entry.description.maxRunning = static_cast<std::size_t>(std::max<std::int64_t>(1, integerField(state, "max_running", 1)));
        entry.description.cacheCapacity = tokens(integerField(state, "cache_tokens", defaultCacheTokens));
        readLoad(endpoint);
    });
}

void endpoint_directory::readLoad(const endpoint_id& endpoint)
{
    fetchObject(endpoint, "/load", [this, endpoint](directory_endpoint& entry, const json::object& load) {
        const auto* leaving = load.if_contains("leaving");
        if (leaving && leaving->is_bool() && leaving->as_bool())
            markLeaving(endpoint);
        entry.described = true;
        m_handlers.onChange();
    });
}

} // namespace carawaylink
