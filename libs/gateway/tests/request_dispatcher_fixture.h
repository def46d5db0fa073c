#pragma once

#include "gateway_test_fixture.h"
#include "request_dispatcher.h"

#include "http/client.h"
#include "http/io_threads.h"
#include "http/server.h"

#include <atomic>
#include <boost/asio.hpp>
#include <future>
#include <gtest/gtest.h>
#include <map>
#include <numeric>
#include <regex>
#include <thread>

namespace carawaylink::gateway {

using namespace std::chrono_literals;

inline constexpr auto responseTimeout = 10s;

// An endpoint with test-defined responses; counts the requests it receives.
struct fake_endpoint {
    fake_endpoint(io_threads& threads, std::string name, http_handler handler)
        : id(std::move(name))
        , server(threads, {},
              [this, handler = std::move(handler)](http_request request, std::shared_ptr<http_responder> responder) {
                  ++requests;
                  handler(std::move(request), std::move(responder));
              })
        , address(server.listen("127.0.0.1:0"))
    {
    }
    std::string id;
    std::atomic<int> requests = 0;
    http_server server;
    std::string address;
};

class request_dispatcher_test : public testing::Test {
protected:
    request_dispatcher_test()
        : m_threads(1)
        , m_log("test")
        , m_client(m_threads.context(0))
        , m_dispatcher(m_threads.context(0), m_settings, m_codec, m_client, m_log, m_metrics)
        , m_server(m_threads, {},
              [this](http_request request, std::shared_ptr<http_responder> responder) {
                  m_dispatcher.handle(std::move(request), std::move(responder));
              })
        , m_address(m_server.listen("127.0.0.1:0"))
        , m_ticker(m_threads.context(0))
    {
    }

    ~request_dispatcher_test() override { m_threads.stop(); }

    void endpoint(const std::string& name, http_handler handler)
    {
        m_endpoints.push_back(std::make_unique<fake_endpoint>(m_threads, name, std::move(handler)));
    }

    void start(bool idempotent, bool streaming, unsigned attempts, duration timeout = 3s)
    {
        run([&] {
            routing::fleet_configuration routes;
            routes.version = config_version { 1 };
            routing::route route;
            route.name = "route";
            route.host = "host";
            route.pathPrefix = "/p/";
            route.services = { { service_id { "service" }, 1 } };
            route.idempotent = idempotent;
            route.streaming = streaming;
            route.resumable = streaming && idempotent;
            route.maxAttempts = attempts;
            route.timeout = timeout;
            route.latencyTarget = 500ms;
            routes.routes = { route };
            if (m_engineMemory)
                routes.services = { { service_id { "service" }, {}, 0, routing::engine_limits { 4, *m_engineMemory, 1 } } };
            if (!m_key.empty()) {
                routing::team_definition team;
                team.name = team_id { "team" };
                team.keys = { m_key };
                routes.teams = { team };
            }
            m_dispatcher.setConfiguration(routes);
            std::map<discovery::replica_id, discovery::endpoint_record> records;
            for (const auto& entry : m_endpoints)
                records.emplace(entry->id,
                    discovery::endpoint_record { discovery::replica_id { entry->id }, service_id { "service" },
                        endpoint_id { entry->address }, failure_domain { "a" }, 4, false, 1 });
            m_dispatcher.setEndpoints(records);
            tick();
        });
    }

    void tick()
    {
        m_dispatcher.tick();
        m_ticker.expires_after(10ms);
        m_ticker.async_wait([this](boost::system::error_code status) {
            if (!status)
                tick();
        });
    }

    void run(std::function<void()> work)
    {
        std::promise<void> done;
        m_threads.post(0, [&] {
            work();
            done.set_value();
        });
        done.get_future().get();
    }

    http_response send(const std::string& method, const std::string& target = "/p/x", const std::string& attempt = "a1")
    {
        http_request request { method, target, { { "Host", "host" }, { "attempt", attempt }, { "key", m_key } },
            method == "POST" ? "body" : "" };
        return blocking_http_client().send(m_address, request, responseTimeout);
    }

    http_response sendWithPart(const std::string& part)
    {
        const http_request request { "GET", "/p/x", { { "Host", "host" }, { "attempt", "a1" }, { "part", part } }, {} };
        return blocking_http_client().send(m_address, request, responseTimeout);
    }

    http_response sendWithPrefix(const std::string& attempt, const std::string& length)
    {
        const http_request request { "GET", "/p/x", { { "Host", "host" }, { "attempt", attempt }, { "prefix", length } }, {} };
        return blocking_http_client().send(m_address, request, responseTimeout);
    }

    // Ends with its process as soon as it gets a request with the part "deadly".
    void mortalEndpoint(const std::string& name)
    {
        const auto index = m_endpoints.size();
        endpoint(name, [this, index](const http_request& request, const std::shared_ptr<http_responder>& responder) {
            if (request.header("part") != "deadly") {
                responder->send({ 200, {}, "whole" });
                return;
            }
            m_endpoints[index]->server.stopAccepting();
            responder->abort();
        });
    }

    int requestsAtAll() const
    {
        return std::accumulate(
            m_endpoints.begin(), m_endpoints.end(), 0, [](int total, const auto& entry) { return total + entry->requests; });
    }

    int requestsAt(std::size_t index) const { return m_endpoints[index]->requests; }

    // Number of requests that ended, by result, as the metrics count them.
    std::map<std::string, int> endsByResult()
    {
        static const std::regex series("carawaylink_gateway_requests_total\\{.*result=\"(\\w+)\".*\\} (\\d+)");
        std::string text;
        run([&] { text = m_metrics.text(); });
        std::map<std::string, int> ends;
        for (std::sregex_iterator found(text.begin(), text.end(), series), end; found != end; ++found)
            ends[(*found)[1]] += std::stoi((*found)[2]);
        return ends;
    }

    static http_handler respondWith(unsigned status, std::vector<http_header> headers = {}, std::string body = "whole")
    {
        return [=](const http_request&, const std::shared_ptr<http_responder>& responder) { responder->send({ status, headers, body }); };
    }

    static http_handler abortResponse()
    {
        return [](const http_request&, const std::shared_ptr<http_responder>& responder) { responder->abort(); };
    }

    static http_handler neverRespond(std::vector<std::shared_ptr<http_responder>>& pending)
    {
        return [&pending](const http_request&, const std::shared_ptr<http_responder>& responder) { pending.push_back(responder); };
    }

    std::string m_key;
    std::optional<tokens> m_engineMemory;
    gateway_settings m_settings;
    test_codec m_codec;
    std::vector<std::shared_ptr<http_responder>> m_pendingResponders;
    io_threads m_threads;
    decision_log m_log;
    gateway_metrics m_metrics;
    http_client m_client;
    request_dispatcher m_dispatcher;
    http_server m_server;
    std::string m_address;
    boost::asio::steady_timer m_ticker;
    std::vector<std::unique_ptr<fake_endpoint>> m_endpoints;
};

} // namespace carawaylink::gateway
