#include "request_dispatcher_fixture.h"

#include "exchange.h"
#include "send_record.h"

namespace carawaylink::gateway {
namespace {

// Keeps the response for the test.
class recording_responder : public http_responder {
public:
    void send(http_response response) override { status = response.status; }
    void start(unsigned startedStatus, std::vector<http_header>) override { status = startedStatus; }
    void write(std::string_view) override { }
    void finish() override { }
    // Like a connection, it calls the handler while it aborts.
    void abort() override
    {
        if (!wasAborted.exchange(true) && m_onClosed)
            std::exchange(m_onClosed, nullptr)();
    }
    std::size_t pendingBytes() const override { return 0; }
    void onDrained(std::function<void()>) override { }
    void onClosed(std::function<void()> handler) override { m_onClosed = std::move(handler); }
    bool closed() const override { return wasAborted; }
    std::size_t threadIndex() const override { return 0; }

    std::atomic<unsigned> status = 0;
    std::atomic<bool> wasAborted = false;

private:
    std::function<void()> m_onClosed;
};

/// Hands decisions to one exchange of a request that may run once, in any state.
class exchange_test : public request_dispatcher_test {
protected:
    void startExchange(bool isResumableStream = false)
    {
        start(false, false, 1);
        run([this, isResumableStream] {
            admitted_request admitted;
            // Not one of the dispatcher's, which would decide as well.
            admitted.id = m_nextId++;
            admitted.metadata.attempt = "a1";
            admitted.request = { "POST", "/p/x", { { "attempt", "a1" } }, "body" };
            admitted.route.name = "route";
            admitted.route.maxAttempts = isResumableStream ? 2 : 1;
            admitted.route.streaming = isResumableStream;
            admitted.route.resumable = isResumableStream;
            admitted.route.latencyTarget = 500ms;
            admitted.service = service_id { "service" };
            admitted.arrived = std::chrono::steady_clock::now();
            admitted.responseDeadline = admitted.arrived + 3s;
            m_exchange = std::make_shared<exchange>(m_dispatcher, std::move(admitted), m_responder);
        });
    }

    void grantAt(std::size_t index)
    {
        const auto& chosen = *m_endpoints[index];
        run([&] {
            m_exchange->onGranted({ m_exchange->id(), discovery::replica_id { chosen.id }, endpoint_id { chosen.address }, 50ms, 1 });
        });
    }

    void refuse()
    {
        run([&] { m_exchange->onRefused({ m_exchange->id(), placement::refusal_cause::queue, 1s, 3 }); });
    }

    template <typename Condition> static bool eventually(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + responseTimeout;
        while (!condition() && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(1ms);
        return condition();
    }

    ~exchange_test() override
    {
        run([this] {
            m_exchange->terminate();
            m_exchange.reset();
            m_pendingResponders.clear();
        });
    }

    std::uint64_t m_nextId = 1'000'000;
    std::shared_ptr<recording_responder> m_responder = std::make_shared<recording_responder>();
    std::shared_ptr<exchange> m_exchange;
};

TEST_F(exchange_test, secondGrant_whileRequestRuns_isIgnored)
{
    // A late second grant sent the request to another endpoint while the first one worked on it.
    endpoint("one", neverRespond(m_pendingResponders));
    endpoint("two", neverRespond(m_pendingResponders));
    startExchange();
    grantAt(0);
    ASSERT_TRUE(eventually([this] { return requestsAt(0) == 1; }));
    grantAt(1);
    std::this_thread::sleep_for(100ms);
    EXPECT_EQ(requestsAt(1), 0);
    run([&] { EXPECT_NE(m_metrics.text().find("unexpected_decisions_total{decision=\"grant\"} 1"), std::string::npos); });
}

TEST_F(exchange_test, refusal_whileRequestRuns_isIgnored)
{
    // A late refusal told the caller "not executed" while an endpoint worked on the request.
    endpoint("one", neverRespond(m_pendingResponders));
    startExchange();
    grantAt(0);
    ASSERT_TRUE(eventually([this] { return requestsAt(0) == 1; }));
    refuse();
    EXPECT_EQ(m_responder->status, 0U);
    run([&] { m_pendingResponders.front()->send({ 200, {}, "whole" }); });
    EXPECT_TRUE(eventually([this] { return m_responder->status == 200; }));
}

TEST_F(exchange_test, refusal_beforeAnySend_promisesNotExecuted)
{
    startExchange();
    refuse();
    EXPECT_EQ(m_responder->status, 503U);
}

TEST_F(exchange_test, termination_whileWaiting_endsOnce)
{
    // Aborting the response ended the exchange as "caller_left", and the termination ended it again.
    startExchange();
    run([this] { m_exchange->start(); });
    run([this] {
        m_exchange->terminate();
        m_exchange->terminate();
    });
    EXPECT_EQ(endsByResult(), (std::map<std::string, int> { { "stopped", 1 } }));
}

TEST_F(exchange_test, refusal_ofAStreamThatHasBegun_endsOnce)
{
    // A stream that finds no endpoint to continue on was counted as broken off and as left by its caller.
    endpoint("one", [](const http_request&, const std::shared_ptr<http_responder>& responder) {
        responder->start(200, { { "Content-Type", "text/event-stream" } });
        responder->write("id: 1\ndata: d1\n\n");
        responder->onDrained([responder] { responder->abort(); });
    });
    startExchange(true);
    run([this] { m_exchange->start(); });
    grantAt(0);
    ASSERT_TRUE(eventually([this] { return m_responder->status == 200; }));
    // A refusal has no effect until the endpoint's end has been noticed.
    ASSERT_TRUE(eventually([this] {
        refuse();
        return m_responder->wasAborted.load();
    }));
    EXPECT_EQ(endsByResult(), (std::map<std::string, int> { { "broken_off", 1 } }));
}

TEST_F(exchange_test, grantsOfRequestsThatHaveEnded_leaveTheirSlotsFree)
{
    // A grant that found no exchange was logged and dropped, and its slot stayed taken.
    constexpr int moreThanTheSlots = 9;
    endpoint("one", respondWith(200));
    for (int i = 1; i <= moreThanTheSlots; ++i) {
        startExchange();
        run([this] { m_exchange->start(); });
        const auto expected = "unexpected_decisions_total{decision=\"grant\"} " + std::to_string(i);
        ASSERT_TRUE(eventually([&] {
            bool found = false;
            run([&] { found = m_metrics.text().find(expected) != std::string::npos; });
            return found;
        })) << "grant "
            << i;
    }
    EXPECT_EQ(send("POST", "/p/x", "present").status, 200U);
}

TEST(send_record_test, send_countsAsExecutedUntilItIsProvedNotToBe)
{
    // Guards against a refusal that promises "not executed" while a send is in progress.
    send_record sends;
    EXPECT_FALSE(sends.mayHaveExecuted());
    sends.begin();
    EXPECT_TRUE(sends.mayHaveExecuted());
    sends.proveNotExecuted(false);
    EXPECT_FALSE(sends.mayHaveExecuted());
    EXPECT_EQ(sends.delivered(), 0U);
    EXPECT_EQ(sends.undelivered(), 1U);
    sends.begin();
    sends.begin();
    sends.proveNotExecuted(true);
    EXPECT_TRUE(sends.mayHaveExecuted());
    EXPECT_EQ(sends.delivered(), 2U);
}

} // namespace
} // namespace carawaylink::gateway
