#include "front.h"
#include "gateway_test_fixture.h"

#include "http/client.h"
#include "http/io_threads.h"
#include "http/server.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <future>
#include <gtest/gtest.h>

namespace carawaylink::gateway {
namespace {

using namespace std::chrono_literals;

constexpr auto answerLimit = 10s;

// An endpoint whose answers a test chooses; counts the requests that reach it.
struct fake_endpoint {
    fake_endpoint(io_threads& threads, std::string name, http_handler behavior)
        : id(std::move(name))
        , server(threads, {},
              [this, behavior = std::move(behavior)](http_request request, std::shared_ptr<http_responder> responder) {
                  ++requests;
                  behavior(std::move(request), std::move(responder));
              })
        , address(server.listen("127.0.0.1:0"))
    {
    }
    std::string id;
    std::atomic<int> requests = 0;
    http_server server;
    std::string address;
};

class front_test : public testing::Test {
protected:
    front_test()
        : m_threads(1)
        , m_log("test")
        , m_client(m_threads.context(0))
        , m_front(m_threads.context(0), m_settings, m_codec, m_client, m_log, m_metrics)
        , m_server(m_threads, {},
              [this](http_request request, std::shared_ptr<http_responder> responder) {
                  m_front.handle(std::move(request), std::move(responder));
              })
        , m_address(m_server.listen("127.0.0.1:0"))
        , m_ticker(m_threads.context(0))
    {
    }

    ~front_test() override { m_threads.stop(); }

    void endpoint(const std::string& name, http_handler behavior)
    {
        m_endpoints.push_back(std::make_unique<fake_endpoint>(m_threads, name, std::move(behavior)));
    }

    void start(bool idempotent, bool streaming, unsigned attempts, duration timeout = 3s)
    {
        run([&] {
            routing::fleet_routes routes;
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
            if (!m_key.empty()) {
                routing::team_definition team;
                team.name = team_id { "team" };
                team.keys = { m_key };
                routes.teams = { team };
            }
            m_front.setConfiguration(routes);
            std::map<discovery::replica_id, discovery::endpoint_record> records;
            for (const auto& entry : m_endpoints)
                records.emplace(entry->id,
                    discovery::endpoint_record { discovery::replica_id { entry->id }, service_id { "service" },
                        endpoint_id { entry->address }, failure_domain { "a" }, 4, false, 1 });
            m_front.setEndpoints(records);
            tick();
        });
    }

    void tick()
    {
        m_front.tick();
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

    http_response send(const std::string& method, const std::string& target = "/p/x")
    {
        http_request request { method, target, { { "Host", "host" }, { "attempt", "a1" }, { "key", m_key } },
            method == "POST" ? "body" : "" };
        return blocking_http_client().send(m_address, request, answerLimit);
    }

    int requestsAt(std::size_t index) const { return m_endpoints[index]->requests; }

    static http_handler answers(unsigned status, std::vector<http_header> headers = {}, std::string body = "whole")
    {
        return [=](const http_request&, const std::shared_ptr<http_responder>& responder) { responder->send({ status, headers, body }); };
    }

    static http_handler breaksOff()
    {
        return [](const http_request&, const std::shared_ptr<http_responder>& responder) { responder->abort(); };
    }

    static http_handler staysSilent(std::vector<std::shared_ptr<http_responder>>& held)
    {
        return [&held](const http_request&, const std::shared_ptr<http_responder>& responder) { held.push_back(responder); };
    }

    std::string m_key;
    gateway_settings m_settings;
    test_codec m_codec;
    std::vector<std::shared_ptr<http_responder>> m_held;
    io_threads m_threads;
    decision_log m_log;
    gateway_metrics m_metrics;
    http_client m_client;
    front m_front;
    http_server m_server;
    std::string m_address;
    boost::asio::steady_timer m_ticker;
    std::vector<std::unique_ptr<fake_endpoint>> m_endpoints;
};

TEST_F(front_test, answer_ofEndpoint_reachesTheCallerUnchanged)
{
    endpoint("one", answers(201, { { "proof", "p" }, { "attempt", "a1" } }, "text"));
    start(false, false, 1);
    const auto response = send("POST");
    EXPECT_EQ(response.status, 201U);
    EXPECT_EQ(response.body, "text");
    EXPECT_EQ(response.header("proof"), "p");
}

TEST_F(front_test, requestBeforeAnyConfiguration_isRefusedAsNotRun)
{
    // A node that knows no configuration must not say that a route does not exist.
    EXPECT_EQ(send("GET").status, 503U);
}

TEST_F(front_test, unknownRoute_isNotFound)
{
    start(true, false, 1);
    EXPECT_EQ(send("GET", "/q/x").status, 404U);
}

TEST_F(front_test, nonIdempotentRequest_whoseConnectionBroke_isNeitherRepeatedNorCalledNotRun)
{
    // A second run would book twice; a 503 would promise what nobody knows.
    endpoint("one", breaksOff());
    endpoint("two", breaksOff());
    start(false, false, 3);
    EXPECT_EQ(send("POST").status, 502U);
    EXPECT_EQ(requestsAt(0) + requestsAt(1), 1);
}

TEST_F(front_test, idempotentRequest_whoseConnectionBroke_isRepeatedElsewhere)
{
    endpoint("one", breaksOff());
    endpoint("two", answers(200));
    start(true, false, 2);
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(send("GET").status, 200U);
    EXPECT_GE(requestsAt(1), 4);
}

TEST_F(front_test, idempotentRequest_isSentToNoMoreEndpointsThanAllowed)
{
    endpoint("one", breaksOff());
    endpoint("two", breaksOff());
    endpoint("three", breaksOff());
    start(true, false, 2);
    EXPECT_EQ(send("GET").status, 502U);
    EXPECT_EQ(requestsAt(0) + requestsAt(1) + requestsAt(2), 2);
}

TEST_F(front_test, requestThatNoEndpointRan_isRefusedAsNotRunWithTimeToReturn)
{
    endpoint("one", answers(503, { { "ran", "no" } }));
    start(false, false, 1);
    const auto response = send("POST");
    EXPECT_EQ(response.status, 503U);
    EXPECT_TRUE(response.header("Retry-After"));
}

TEST_F(front_test, requestAtAnotherProcess_goesToTheRightEndpointWithinOneAttempt)
{
    // The endpoint's address was taken over by another process; the endpoint itself never had the request.
    endpoint("one", answers(421, { { "other", "yes" } }));
    endpoint("two", answers(200));
    start(false, false, 1);
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(send("POST").status, 200U);
    EXPECT_LE(requestsAt(0), 1);
}

TEST_F(front_test, lateAnswerOfAnotherRequest_isNotHandedOut)
{
    // A kept connection may carry the second answer of an earlier request.
    endpoint("one", answers(200, { { "attempt", "other" } }));
    start(false, false, 1);
    EXPECT_EQ(send("POST").status, 502U);
}

TEST_F(front_test, failureOfTheEndpoint_withoutAnotherTry_isPassedOn)
{
    endpoint("one", answers(500, { { "proof", "p" } }, "broken"));
    start(false, false, 1);
    const auto response = send("POST");
    EXPECT_EQ(response.status, 500U);
    EXPECT_EQ(response.header("proof"), "p");
    EXPECT_EQ(response.body, "broken");
}

TEST_F(front_test, silentEndpoint_atTheTimeoutOfTheRoute_endsAsUnknown)
{
    // Guards against callers that are kept waiting beyond the operator's bound.
    endpoint("one", staysSilent(m_held));
    start(false, false, 1, 300ms);
    const auto began = std::chrono::steady_clock::now();
    EXPECT_EQ(send("POST").status, 504U);
    EXPECT_LT(std::chrono::steady_clock::now() - began, 2s);
    run([&] { m_held.clear(); });
}

TEST_F(front_test, silentEndpoint_withIdempotentRequest_isLeftForAnother)
{
    endpoint("one", staysSilent(m_held));
    endpoint("two", answers(200));
    start(true, false, 2);
    EXPECT_EQ(send("GET").status, 200U);
    EXPECT_EQ(send("GET").status, 200U);
    run([&] { m_held.clear(); });
}

TEST_F(front_test, noEndpoint_isRefusedWithinTheLatencyTarget)
{
    start(false, false, 1);
    const auto began = std::chrono::steady_clock::now();
    EXPECT_EQ(send("POST").status, 503U);
    EXPECT_LT(std::chrono::steady_clock::now() - began, 1500ms);
}

TEST_F(front_test, unknownKey_isUnauthorizedAndReachesNoEndpoint)
{
    m_key = "right";
    endpoint("one", answers(200));
    start(true, false, 1);
    m_key = "wrong";
    EXPECT_EQ(send("GET").status, 401U);
    EXPECT_EQ(requestsAt(0), 0);
}

// Sends events first .. last, then ends as whole or breaks off inside the next event.
http_handler streams(std::uint64_t last, bool whole)
{
    return [last, whole](const http_request& request, const std::shared_ptr<http_responder>& responder) {
        const auto after = request.header("after");
        const auto first = after ? std::stoull(std::string(*after)) + 1 : 1;
        responder->start(200, { { "Content-Type", "text/event-stream" }, { "proof", after ? "second" : "first" } });
        for (auto id = first; id <= last; ++id)
            responder->write("id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n");
        if (whole) {
            responder->finish();
            return;
        }
        responder->write("id: 99\nda");
        responder->onDrained([weak = std::weak_ptr(responder)] {
            if (const auto alive = weak.lock())
                alive->abort();
        });
    };
}

TEST_F(front_test, resumableStream_thatBreaks_continuesElsewhereWithinOneAnswer)
{
    // Guards against missing, doubled and torn events where a stream moves to another endpoint.
    endpoint("one", [](const http_request& request, const std::shared_ptr<http_responder>& responder) {
        streams(request.header("after") ? 5 : 2, request.header("after").has_value())(request, responder);
    });
    endpoint("two", [](const http_request& request, const std::shared_ptr<http_responder>& responder) {
        streams(request.header("after") ? 5 : 2, request.header("after").has_value())(request, responder);
    });
    start(true, true, 2);
    const auto response = send("POST");
    EXPECT_EQ(response.status, 200U);
    EXPECT_EQ(response.header("proof"), "first");
    EXPECT_EQ(response.body, "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\nid: 3\ndata: d3\n\nid: 4\ndata: d4\n\nid: 5\ndata: d5\n\n");
}

TEST_F(front_test, otherStream_thatBreaks_neverLooksWhole)
{
    endpoint("one", streams(2, false));
    endpoint("two", streams(2, false));
    start(false, true, 2);
    EXPECT_THROW(send("POST"), std::exception);
    EXPECT_EQ(requestsAt(0) + requestsAt(1), 1);
}

// Sends one event, pauses for longer than a silent stream is left alone, then sends the rest.
http_handler pauses(boost::asio::io_context& context, duration pause)
{
    return [&context, pause](const http_request&, const std::shared_ptr<http_responder>& responder) {
        responder->start(200, { { "Content-Type", "text/event-stream" } });
        responder->write("id: 1\ndata: d1\n\n");
        auto timer = std::make_shared<boost::asio::steady_timer>(context, pause);
        timer->async_wait([responder, timer](boost::system::error_code) {
            responder->write("id: 2\ndata: d2\n\n");
            responder->finish();
        });
    };
}

TEST_F(front_test, resumableStream_thatPausesWithNoOtherEndpoint_isNotBrokenOff)
{
    // Guards against a caller that loses an answer because its endpoint paused and no other one could take over.
    endpoint("one", pauses(m_threads.context(0), 1500ms));
    start(true, true, 2);
    EXPECT_EQ(send("POST").body, "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n");
}

TEST_F(front_test, resumableStream_thatPausesWithoutRepeatsLeft_isNotBrokenOff)
{
    m_settings.retryRatio = 0;
    m_settings.retrySlack = 0;
    endpoint("one", pauses(m_threads.context(0), 1500ms));
    endpoint("two", pauses(m_threads.context(0), 1500ms));
    start(true, true, 2);
    EXPECT_EQ(send("POST").body, "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n");
    EXPECT_EQ(requestsAt(0) + requestsAt(1), 1);
}

TEST_F(front_test, resumableStream_thatStaysSilent_continuesElsewhere)
{
    endpoint("one", pauses(m_threads.context(0), 8s));
    start(true, true, 2);
    std::thread late([this] {
        std::this_thread::sleep_for(300ms);
        endpoint("two", streams(3, true));
        start(true, true, 2);
    });
    const auto response = send("POST");
    late.join();
    EXPECT_EQ(response.body, "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\nid: 3\ndata: d3\n\n");
}

} // namespace
} // namespace carawaylink::gateway
