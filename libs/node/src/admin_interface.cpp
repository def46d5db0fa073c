#include "base/error.h"
#include "base/log.h"
#include "node_state.h"

#include <boost/json.hpp>

namespace carawaylink {

namespace json = boost::json;

namespace {

// Shorter than the time-out of a call by the command-line tool.
constexpr auto appendTimeout = std::chrono::seconds(2);
constexpr std::string_view recordsPath = "/admin/config/records";
constexpr std::string_view explainPath = "/admin/explain/";

http_response adminError(unsigned status, std::string_view type, const std::string& message, const std::string& remedy)
{
    return jsonResponse(status,
        json::serialize(json::object { { "error", json::object { { "type", type }, { "message", message }, { "remedy", remedy } } } }));
}

json::object memberObject(const member_update& member)
{
    return { { "node", member.node.value }, { "state", memberStateNames.name(member.state) }, { "incarnation", member.run.value },
        { "http_address", member.httpAddress }, { "failure_domain", member.domain.value }, { "region", member.region },
        { "draining", member.draining }, { "config_version", member.config.value } };
}

json::object endpointObject(const endpoint_status& endpoint)
{
    return { { "endpoint", endpoint.id.value }, { "running", endpoint.running }, { "max_running", endpoint.maxRunning },
        { "leaving", endpoint.leaving }, { "ejected", endpoint.ejected }, { "prefill_tokens_per_s", endpoint.prefillTokensPerSecond },
        { "ms_per_token", endpoint.millisecondsPerToken } };
}

} // namespace

void node::implementation::admin(const http_request& request, admin_callback callback)
{
    const auto path = request.path();
    const bool isGet = request.method == "GET";
    const bool isPost = request.method == "POST";
    try {
        if (path == "/admin/status" && isGet)
            callback(statusPage());
        else if (path == "/admin/config" && isGet)
            callback(jsonResponse(200,
                json::serialize(json::object { { "version", config->fold().version().value },
                    { "next_offset", config->fold().stateOffset().value }, { "document", config->fold().document() } })));
        else if (path == recordsPath && isPost)
            appendConfig(request, callback);
        else if (path.starts_with(recordsPath) && path.size() > recordsPath.size() + 1 && isGet) {
            const std::string id(path.substr(recordsPath.size() + 1));
            callback(configResult(id, config->fold().find(id)));
        } else if (path.starts_with(explainPath) && isGet)
            callback(explainPage(std::string(path.substr(explainPath.size()))));
        else if (path == "/admin/drain" && isPost) {
            callback(jsonResponse(202, R"({"draining":true})"));
            beginDrain();
        } else if (path == "/admin/usage" && isGet)
            usagePage(callback);
        else if (path == "/admin/orders" && isGet)
            callback(ordersPage());
        else
            callback(adminError(404, "unknown_path", request.method + " " + std::string(path) + " is not served", "see docs/cli.md"));
    } catch (const error& failure) {
        callback(adminError(400, errorKindNames.name(failure.kind()), failure.message(), failure.remedy()));
    }
}

http_response node::implementation::statusPage()
{
    json::array members;
    auto selfMember = membership->self();
    selfMember.draining = draining;
    selfMember.config = config->fold().version();
    members.push_back(memberObject(selfMember));
    for (const auto& member : membership->members())
        members.push_back(memberObject(member));
    json::array pools;
    for (const auto& pool : poolManager->status(std::chrono::steady_clock::now())) {
        json::array endpoints;
        for (const auto& endpoint : pool.endpoints)
            endpoints.push_back(endpointObject(endpoint));
        pools.push_back(json::object { { "service", pool.pool.service.value }, { "pool", pool.pool.number }, { "owner", self.node.value },
            { "ready", pool.ready }, { "waiting", pool.status.waiting }, { "running", pool.status.running }, { "slots", pool.status.slots },
            { "inversions", pool.status.inversions }, { "endpoints", std::move(endpoints) } });
    }
    return jsonResponse(200,
        json::serialize(json::object { { "node", self.node.value }, { "incarnation", self.run.value },
            { "version", config->fold().version().value }, { "draining", draining }, { "pending", dispatch->pendingRequests() },
            { "members", std::move(members) }, { "pools", std::move(pools) } }));
}

http_response node::implementation::explainPage(const std::string& request)
{
    const auto text = poolManager->explain(parseRequestId(request));
    if (!text)
        return adminError(404, "unknown_request", "no pool on this node has a record of request " + request,
            "ask the node that owns the service's pool, or repeat this sooner after the request");
    return jsonResponse(200, json::serialize(json::object { { "request", request }, { "text", *text } }));
}

void node::implementation::appendConfig(const http_request& request, const admin_callback& callback)
{
    const auto change = parseConfigRecord(request.body);
    if (change.kind == config_record_kind::snapshot) {
        callback(adminError(
            400, "invalid_argument", "operators cannot append a snapshot", "send a change; snapshots are appended by nodes only"));
        return;
    }
    settings_report report;
    if (!loadFleetConfiguration(change.document, report)) {
        callback(adminError(400, "invalid_settings", toString(report), "correct the file; carawaylink config check FILE lists all errors"));
        return;
    }
    log_event("config_change_received").field("change", change.id).field("author", change.author).field("base_version", change.baseVersion);
    config->append(change, appendTimeout,
        [this, callback, id = change.id](const std::optional<config_result>& result) { callback(configResult(id, result)); });
}

http_response node::implementation::configResult(const std::string& id, const std::optional<config_result>& result) const
{
    std::string_view outcome = "pending";
    if (result) {
        const bool accepted = result->outcome == config_outcome::accepted || result->outcome == config_outcome::duplicate;
        if (accepted)
            outcome = "accepted";
        else if (result->outcome == config_outcome::refused || result->outcome == config_outcome::undetermined)
            outcome = configOutcomeNames.name(result->outcome);
    }
    return jsonResponse(200,
        json::serialize(json::object { { "id", id }, { "result", outcome },
            { "version", result ? result->version.value : config->fold().version().value },
            { "message", result ? result->message : std::string() } }));
}

void node::implementation::usagePage(const admin_callback& callback)
{
    usage->readAll([this, callback](bool complete) {
        json::array teams;
        for (const auto& [key, counters] : usage->ledger().total()) {
            teams.push_back(json::object { { "team", key.first.value }, { "tier", key.second.value }, { "requests", counters.requests },
                { "prompt_tokens", counters.promptTokens }, { "cached_tokens", counters.cachedTokens },
                { "output_tokens", counters.outputTokens }, { "cost_ms", counters.endpointMicroseconds / 1000 } });
        }
        callback(jsonResponse(200, json::serialize(json::object { { "complete", complete }, { "teams", std::move(teams) } })));
    });
}

http_response node::implementation::ordersPage()
{
    json::array list;
    for (const auto& order : orders->orders()) {
        list.push_back(json::object { { "endpoint", order.endpoint.value }, { "kind", orderKindNames.name(order.change.kind) },
            { "name", order.change.name }, { "state", orderStateNames.name(order.state) },
            { "fence", order.fence ? json::value(order.fence->value) : json::value(nullptr) }, { "message", order.message } });
    }
    return jsonResponse(200, json::serialize(json::object { { "orders", std::move(list) } }));
}

} // namespace carawaylink
