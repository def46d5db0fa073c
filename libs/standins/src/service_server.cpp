#include "standins/service_server.h"

#include "server_core.h"

#include <boost/json.hpp>

namespace carawaylink {

namespace json = boost::json;

namespace {

/// Value of X-Call-Id, else of the body's "call"; empty where there is neither.
std::string callId(const http_request& request)
{
    if (const auto header = request.header("X-Call-Id"))
        return std::string(*header);
    boost::system::error_code failure;
    const json::value body = json::parse(request.body, failure);
    if (failure || !body.is_object())
        return {};
    const auto* const call = body.get_object().if_contains("call");
    if (!call)
        return {};
    return call->is_string() ? std::string(call->get_string()) : json::serialize(*call);
}

} // namespace

struct service_server::implementation {
    implementation(service_server_options serverOptions, std::shared_ptr<history_writer> historyWriter)
        : options(std::move(serverOptions))
        , history(std::move(historyWriter))
        , model(options.seed)
        , core({ .handle = [this](const http_request& request, const reply_pointer& answer) { handle(request, answer); },
              .faults = [this] { return model.faults().toJson(); },
              .applyFaults = [this](std::string_view changes) { applyFaults(changes); },
              .paused = [this] { return model.faults().on(service_fault::pause); },
              .silent = [this] { return model.faults().on(service_fault::silent_connections); } })
    {
    }

    ~implementation() { core.stop(); }

    void applyFaults(std::string_view changes)
    {
        const bool wasLeaving = model.faults().on(service_fault::leaving);
        model.faults().apply(changes);
        if (model.faults().on(service_fault::leaving) != wasLeaving)
            record(wasLeaving ? "live" : "leaving", {});
    }

    void handle(const http_request& request, const reply_pointer& answer)
    {
        if (request.method == "POST" && request.path() == "/leave") {
            applyFaults(R"({"leaving":true})");
            answer->send(jsonResponse(200, R"({"leaving":true})"));
            return;
        }
        const bool hasEffect = request.method != "GET" && request.method != "HEAD";
        const auto outcome = model.handle(hasEffect);
        const auto call = callId(request);
        if (outcome.execution > 0)
            record("executed", { { "path", request.path() }, { "call", call }, { "execution", outcome.execution } });
        switch (outcome.result) {
        case service_outcome::kind::leaving: {
            auto response = errorAnswer(503, "leaving", "the service is leaving");
            response.headers.push_back({ "X-Engine-Leaving", "1" });
            answer->send(std::move(response));
            return;
        }
        case service_outcome::kind::failed:
            core.sendAfter(model.delay(), answer, errorAnswer(500, "failed", "the service failed before it executed the call"));
            return;
        case service_outcome::kind::answer_lost:
            core.after(model.delay(), [answer] { answer->abort(); });
            return;
        case service_outcome::kind::answered:
            break;
        }
        json::object body { { "service", options.name }, { "path", request.path() } };
        if (hasEffect) {
            body["call"] = call;
            body["execution"] = outcome.execution;
        }
        core.sendAfter(model.delay(), answer, jsonResponse(200, json::serialize(body)));
    }

    void record(std::string_view event, const json::object& fields)
    {
        if (!history->enabled())
            return;
        json::object line { { "source", "service" }, { "endpoint", core.address() },
            { "t_us", steadyMicroseconds(std::chrono::steady_clock::now()) }, { "event", event } };
        for (const auto& field : fields)
            line.insert(field);
        history->append(json::serialize(line));
    }

    service_server_options options;
    std::shared_ptr<history_writer> history;
    service_model model;
    server_core core;
};

service_server::service_server(service_server_options options, std::shared_ptr<history_writer> history)
    : m_implementation(std::make_unique<implementation>(std::move(options), std::move(history)))
{
}

service_server::~service_server() = default;

std::string service_server::listen(const std::string& address)
{
    return m_implementation->core.listen(address);
}

} // namespace carawaylink
