#include "request_dispatcher_fixture.h"

namespace carawaylink::gateway {
namespace {

TEST_F(request_dispatcher_test, endpointResponse_isForwardedUnchanged)
{
    endpoint("one", respondWith(201, { { "proof", "p" }, { "attempt", "a1" } }, "text"));
    start(false, false, 1);
    const auto response = send("POST");
    EXPECT_EQ(response.status, 201U);
    EXPECT_EQ(response.body, "text");
    EXPECT_EQ(response.header("proof"), "p");
}

TEST_F(request_dispatcher_test, requestBeforeConfiguration_isRefusedAsNotExecuted)
{
    // A node without a configuration must not respond that a route does not exist.
    EXPECT_EQ(send("GET").status, 503U);
}

TEST_F(request_dispatcher_test, unknownRoute_returnsNotFound)
{
    start(true, false, 1);
    EXPECT_EQ(send("GET", "/q/x").status, 404U);
}

TEST_F(request_dispatcher_test, nonIdempotentRequest_onBrokenConnection_isNotRetriedAndOutcomeIsUnknown)
{
    // A retry could execute the request twice, and a 503 would claim that it was not executed, which is unknown.
    endpoint("one", abortResponse());
    endpoint("two", abortResponse());
    start(false, false, 3);
    EXPECT_EQ(send("POST").status, 502U);
    EXPECT_EQ(requestsAt(0) + requestsAt(1), 1);
}

TEST_F(request_dispatcher_test, idempotentRequest_onBrokenConnection_isRetriedOnAnotherEndpoint)
{
    endpoint("one", abortResponse());
    endpoint("two", respondWith(200));
    start(true, false, 2);
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(send("GET").status, 200U);
    EXPECT_GE(requestsAt(1), 4);
}

TEST_F(request_dispatcher_test, idempotentRequest_onRepeatedFailure_isSentAtMostMaxAttemptsTimes)
{
    endpoint("one", abortResponse());
    endpoint("two", abortResponse());
    endpoint("three", abortResponse());
    start(true, false, 2);
    EXPECT_EQ(send("GET").status, 502U);
    EXPECT_EQ(requestsAt(0) + requestsAt(1) + requestsAt(2), 2);
}

TEST_F(request_dispatcher_test, requestThatNoEndpointExecuted_isRefusedWithRetryAfter)
{
    endpoint("one", respondWith(503, { { "ran", "no" } }));
    start(false, false, 1);
    const auto response = send("POST");
    EXPECT_EQ(response.status, 503U);
    EXPECT_TRUE(response.header("Retry-After"));
}

TEST_F(request_dispatcher_test, requestAtReplacedProcess_reachesAnotherEndpointWithinOneAttempt)
{
    // Another process reuses the endpoint's address; the endpoint itself never received the request, so it does not count as an attempt.
    endpoint("one", respondWith(421, { { "other", "yes" } }));
    endpoint("two", respondWith(200));
    start(false, false, 1);
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(send("POST").status, 200U);
    EXPECT_LE(requestsAt(0), 1);
}

TEST_F(request_dispatcher_test, refusedConnection_isProofThatNothingWasSent)
{
    // Guards against an unknown outcome where the endpoint cannot have received the request.
    endpoint("one", respondWith(200));
    m_endpoints[0]->server.stopAccepting();
    start(false, false, 1);
    EXPECT_EQ(send("POST").status, 503U);
    EXPECT_EQ(requestsAt(0), 0);
}

TEST_F(request_dispatcher_test, responseToAnotherRequest_isNotForwarded)
{
    // A reused connection may deliver a second response to an earlier request.
    endpoint("one", respondWith(200, { { "attempt", "other" } }));
    start(false, false, 1);
    EXPECT_EQ(send("POST").status, 502U);
}

TEST_F(request_dispatcher_test, rejectionWithoutAttempt_onUsedConnection_isNoProof)
{
    // Guards against a refusal as "not run" by an answer that may belong to an earlier request of the connection.
    endpoint("one", [this](const http_request&, const std::shared_ptr<http_responder>& responder) {
        if (requestsAt(0) == 1)
            responder->send({ 200, {}, "whole" });
        else
            responder->send({ 503, { { "ran", "no" }, { "unnamed", "yes" } }, {} });
    });
    start(false, false, 1);
    EXPECT_EQ(send("POST", "/p/x", "a1").status, 200U);
    EXPECT_EQ(send("POST", "/p/x", "a2").status, 502U);
}

TEST_F(request_dispatcher_test, rejectionWithoutAttempt_onNewConnection_isProof)
{
    // Guards against an unknown outcome where the connection carried no other request.
    endpoint("one", respondWith(503, { { "ran", "no" }, { "unnamed", "yes" } }));
    start(false, false, 1);
    EXPECT_EQ(send("POST").status, 503U);
}

TEST_F(request_dispatcher_test, refusalOfEndpoint_thatMayHaveExecuted_isNoPromise)
{
    // Guards against passing on a status that tells the caller "not executed" although the endpoint does not say so.
    for (const auto status : { 408U, 429U, 503U })
        endpoint("endpoint-" + std::to_string(status), respondWith(status));
    start(false, false, 3);
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(send("POST").status, 502U);
    EXPECT_EQ(requestsAtAll(), 3);
}

TEST_F(request_dispatcher_test, refusalOfEndpoint_forIdempotentRequest_isForwarded)
{
    // A caller may repeat such a request in any case; it gets the endpoint's own answer.
    endpoint("one", respondWith(429, { { "proof", "p" } }));
    start(true, false, 1);
    const auto response = send("GET");
    EXPECT_EQ(response.status, 429U);
    EXPECT_EQ(response.header("proof"), "p");
}

TEST_F(request_dispatcher_test, endpointFailure_withoutRetriesLeft_isForwarded)
{
    endpoint("one", respondWith(500, { { "proof", "p" } }, "broken"));
    start(false, false, 1);
    const auto response = send("POST");
    EXPECT_EQ(response.status, 500U);
    EXPECT_EQ(response.header("proof"), "p");
    EXPECT_EQ(response.body, "broken");
}

TEST_F(request_dispatcher_test, unresponsiveEndpoint_atRouteTimeout_returnsGatewayTimeout)
{
    // Guards against callers that wait longer than the operator's timeout.
    endpoint("one", neverRespond(m_pendingResponders));
    start(false, false, 1, 300ms);
    const auto startedAt = std::chrono::steady_clock::now();
    EXPECT_EQ(send("POST").status, 504U);
    EXPECT_LT(std::chrono::steady_clock::now() - startedAt, 2s);
    run([&] { m_pendingResponders.clear(); });
}

TEST_F(request_dispatcher_test, unresponsiveEndpoint_withIdempotentRequest_isReplacedByAnother)
{
    endpoint("one", neverRespond(m_pendingResponders));
    endpoint("two", respondWith(200));
    start(true, false, 2);
    EXPECT_EQ(send("GET").status, 200U);
    EXPECT_EQ(send("GET").status, 200U);
    run([&] { m_pendingResponders.clear(); });
}

TEST_F(request_dispatcher_test, serviceWithoutEndpoints_isRefusedWithin1500Ms)
{
    start(false, false, 1);
    const auto startedAt = std::chrono::steady_clock::now();
    EXPECT_EQ(send("POST").status, 503U);
    EXPECT_LT(std::chrono::steady_clock::now() - startedAt, 1500ms);
}

TEST_F(request_dispatcher_test, unknownKey_isUnauthorizedAndNotSentToEndpoint)
{
    m_key = "right";
    endpoint("one", respondWith(200));
    start(true, false, 1);
    m_key = "wrong";
    EXPECT_EQ(send("GET").status, 401U);
    EXPECT_EQ(requestsAt(0), 0);
}

// Sends events up to last, then completes the stream or aborts it inside the next event.
http_handler streamEvents(std::uint64_t last, bool isComplete)
{
    return [last, isComplete](const http_request& request, const std::shared_ptr<http_responder>& responder) {
        const auto after = request.header("after");
        const auto first = after ? std::stoull(std::string(*after)) + 1 : 1;
        responder->start(200, { { "Content-Type", "text/event-stream" }, { "proof", after ? "second" : "first" } });
        for (auto id = first; id <= last; ++id)
            responder->write("id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n");
        if (isComplete) {
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

TEST_F(request_dispatcher_test, brokenResumableStream_isResumedWithinSameResponse)
{
    // Guards against missing, duplicate and partial events when a stream moves to another endpoint.
    endpoint("one", [](const http_request& request, const std::shared_ptr<http_responder>& responder) {
        streamEvents(request.header("after") ? 5 : 2, request.header("after").has_value())(request, responder);
    });
    endpoint("two", [](const http_request& request, const std::shared_ptr<http_responder>& responder) {
        streamEvents(request.header("after") ? 5 : 2, request.header("after").has_value())(request, responder);
    });
    start(true, true, 2);
    const auto response = send("POST");
    EXPECT_EQ(response.status, 200U);
    EXPECT_EQ(response.header("proof"), "first");
    EXPECT_EQ(response.body, "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\nid: 3\ndata: d3\n\nid: 4\ndata: d4\n\nid: 5\ndata: d5\n\n");
}

TEST_F(request_dispatcher_test, brokenNonResumableStream_isAborted)
{
    endpoint("one", streamEvents(2, false));
    endpoint("two", streamEvents(2, false));
    start(false, true, 2);
    EXPECT_THROW(send("POST"), std::exception);
    EXPECT_EQ(requestsAt(0) + requestsAt(1), 1);
}

// Sends a stream in which event ids are missing.
void spoilStream(const http_request&, const std::shared_ptr<http_responder>& responder)
{
    responder->start(200, { { "Content-Type", "text/event-stream" } });
    responder->write("id: 1\ndata: d1\n\n");
    responder->write("id: 7\ndata: d7\n\n");
}

TEST_F(request_dispatcher_test, spoiledNonResumableStream_isAbortedAndProcessGoesOn)
{
    // The exchange was used after its last owner, a callback of the call that it cancelled, had released it.
    endpoint("one", spoilStream);
    start(false, true, 1);
    for (int i = 0; i < 20; ++i)
        EXPECT_THROW(send("POST", "/p/x", "a" + std::to_string(i)), std::exception);
}

TEST_F(request_dispatcher_test, spoiledNonResumableStream_endsOnceWithOneResult)
{
    // Aborting the response ran the handler for a caller that leaves, which ended the exchange a second time as "caller_left".
    endpoint("one", spoilStream);
    start(false, true, 1);
    constexpr int requests = 20;
    for (int i = 0; i < requests; ++i)
        EXPECT_THROW(send("POST", "/p/x", "a" + std::to_string(i)), std::exception);
    EXPECT_EQ(endsByResult(), (std::map<std::string, int> { { "broken_off", requests } }));
}

TEST_F(request_dispatcher_test, answersThatHoldTooMuchMemory_endTheLargestAndNoOther)
{
    // Several answers of less than the limit of one filled the memory of the process, which ended with all its requests.
    constexpr std::size_t memoryLimit = 1U << 20;
    memory_budget memory(memoryLimit, [this](std::function<void()> work) { m_threads.post(0, std::move(work)); });
    m_dispatcher.setMemoryBudget(&memory);
    endpoint("one", [this](const http_request& request, const std::shared_ptr<http_responder>& responder) {
        m_pendingResponders.push_back(responder);
        responder->start(200, {});
        responder->write(std::string(request.target == "/p/large" ? memoryLimit : memoryLimit / 4, 'x'));
    });
    start(false, false, 1);
    auto small = std::async(std::launch::async, [this] { return send("POST", "/p/small", "small"); });
    auto large = std::async(std::launch::async, [this] { return send("POST", "/p/large", "large"); });
    EXPECT_EQ(large.get().status, 502U);
    run([this] { std::ranges::for_each(m_pendingResponders, [](const auto& responder) { responder->finish(); }); });
    EXPECT_EQ(small.get().status, 200U);
    EXPECT_EQ(endsByResult(), (std::map<std::string, int> { { "out_of_memory", 1 }, { "served", 1 } }));
    run([&] {
        EXPECT_EQ(memory.usedBytes(), 0U);
        m_dispatcher.setMemoryBudget(nullptr);
        // They hold connections, which must not outlive the threads.
        m_pendingResponders.clear();
    });
}

// Sends the head of a stream and then a byte now and then, without ever completing an event.
void trickle(boost::asio::io_context& context, const std::shared_ptr<http_responder>& responder)
{
    if (responder->closed())
        return;
    responder->write("x");
    auto timer = std::make_shared<boost::asio::steady_timer>(context, 50ms);
    timer->async_wait([&context, responder, timer](boost::system::error_code status) {
        if (!status)
            trickle(context, responder);
    });
}

TEST_F(request_dispatcher_test, streamThatSendsAByteNowAndThen_isContinuedElsewhere)
{
    // A stalled endpoint whose bytes complete no event passed for a live one, and its caller waited until the deadline.
    endpoint("one", [this](const http_request&, const std::shared_ptr<http_responder>& responder) {
        responder->start(200, { { "Content-Type", "text/event-stream" } });
        trickle(m_threads.context(0), responder);
    });
    endpoint("two", streamEvents(3, true));
    start(true, true, 2, 9s);
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < 2; ++i)
        EXPECT_NE(send("GET").body.find("id: 3"), std::string::npos);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 5s);
}

TEST_F(request_dispatcher_test, eventWithoutEnd_endsTheAttempt)
{
    // Bytes without end inside one event would be held until the deadline.
    endpoint("one", [](const http_request&, const std::shared_ptr<http_responder>& responder) {
        responder->start(200, { { "Content-Type", "text/event-stream" } });
        for (int i = 0; i < 64; ++i)
            responder->write(std::string(65536, 'x'));
    });
    start(false, true, 1, 9s);
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_EQ(send("GET").status, 502U);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 5s);
}

// Sends one event, pauses (for longer than the idle timeout of streams), then sends the rest.
http_handler streamWithPause(boost::asio::io_context& context, duration pause)
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

TEST_F(request_dispatcher_test, pausingResumableStream_withoutOtherEndpoint_isNotAborted)
{
    // Guards against losing a response because its endpoint paused and no other one could take over.
    endpoint("one", streamWithPause(m_threads.context(0), 1500ms));
    start(true, true, 2);
    EXPECT_EQ(send("POST").body, "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n");
}

TEST_F(request_dispatcher_test, pausingResumableStream_withoutRetryBudget_isNotAborted)
{
    m_settings.retryRatio = 0;
    m_settings.retrySlack = 0;
    endpoint("one", streamWithPause(m_threads.context(0), 1500ms));
    endpoint("two", streamWithPause(m_threads.context(0), 1500ms));
    start(true, true, 2);
    EXPECT_EQ(send("POST").body, "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n");
    EXPECT_EQ(requestsAt(0) + requestsAt(1), 1);
}

TEST_F(request_dispatcher_test, stalledResumableStream_isResumedOnAnotherEndpoint)
{
    endpoint("one", streamWithPause(m_threads.context(0), 8s));
    start(true, true, 2);
    std::thread late([this] {
        std::this_thread::sleep_for(300ms);
        endpoint("two", streamEvents(3, true));
        start(true, true, 2);
    });
    const auto response = send("POST");
    late.join();
    EXPECT_EQ(response.body, "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\nid: 3\ndata: d3\n\n");
}

// Answers each connection with these bytes and closes it.
class raw_endpoint {
public:
    raw_endpoint(io_threads& threads, std::string response)
        : m_acceptor(threads.context(0), { boost::asio::ip::make_address("127.0.0.1"), 0 })
        , m_response(std::move(response))
    {
        threads.post(0, [this] { accept(); });
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

private:
    struct connection {
        explicit connection(boost::asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        boost::asio::ip::tcp::socket socket;
        std::string request;
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code status, boost::asio::ip::tcp::socket socket) {
            if (status)
                return;
            const auto peer = std::make_shared<connection>(std::move(socket));
            boost::asio::async_read_until(
                peer->socket, boost::asio::dynamic_buffer(peer->request), "\r\n\r\n", [this, peer](boost::system::error_code, std::size_t) {
                    boost::asio::async_write(peer->socket, boost::asio::buffer(m_response), [peer](boost::system::error_code, std::size_t) {
                        peer->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
                    });
                });
            accept();
        });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_response;
};

const std::string streamHeadWithoutLength = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";

TEST_F(request_dispatcher_test, streamWithoutLength_thatEndsWithItsConnection_isComplete)
{
    const raw_endpoint raw(m_threads, streamHeadWithoutLength + "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n");
    endpoint("one", respondWith(500));
    m_endpoints[0]->address = raw.address();
    start(false, true, 1);
    EXPECT_EQ(send("POST").body, "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n");
}

TEST_F(request_dispatcher_test, streamWithoutLength_thatEndsInsideAnEvent_isBrokenOff)
{
    // An answer that ends early must not look complete to its caller.
    const raw_endpoint raw(m_threads, streamHeadWithoutLength + "id: 1\ndata: d1\n\nid: 2\nda");
    endpoint("one", respondWith(500));
    m_endpoints[0]->address = raw.address();
    start(false, true, 1);
    EXPECT_THROW(send("POST"), std::exception);
}

TEST_F(request_dispatcher_test, streamWithoutLength_thatEndsBeforeItsFirstEvent_isBrokenOff)
{
    // An endpoint that crashed as it began to write passed for one whose answer is empty.
    const raw_endpoint raw(m_threads, streamHeadWithoutLength);
    endpoint("one", respondWith(500));
    m_endpoints[0]->address = raw.address();
    start(false, true, 1);
    EXPECT_EQ(send("POST").status, 502U);
}

TEST_F(request_dispatcher_test, promptPartThatCrashesEndpoints_isKeptFromTheOthers)
{
    // Requests of one kind crashed one endpoint after the other, since each crash only moved the next such request to a sound endpoint.
    for (int i = 0; i < 16; ++i)
        mortalEndpoint("endpoint-" + std::to_string(i));
    start(true, false, 1);
    for (int i = 0; i < 10; ++i) {
        sendWithPart("deadly");
        std::this_thread::sleep_for(250ms);
        EXPECT_EQ(sendWithPart("sound").status, 200U);
    }
    EXPECT_LE(requestsAtAll() - 10, 5);
    const auto refusal = sendWithPart("deadly");
    EXPECT_EQ(refusal.status, 503U);
    EXPECT_TRUE(refusal.header("Retry-After"));
    run([&] { m_dispatcher.updateGauges(); });
    EXPECT_NE(m_metrics.text().find("carawaylink_gateway_state{kind=\"quarantined_prompt_parts\"} 1"), std::string::npos);
}

TEST_F(request_dispatcher_test, promptPartOnProbation_isSentOnceWithoutRetriesUntilItIsAnswered)
{
    // After the term of a quarantine all requests with the part went to endpoints at once, each with all attempts of its route.
    for (int i = 0; i < 4; ++i)
        mortalEndpoint("endpoint-" + std::to_string(i));
    start(true, false, 3);
    run([&] {
        peer::quarantine_updateT update;
        for (const auto part : prompt_quarantine::partsOf(service_id { "service" }, std::vector<std::string> { "deadly", "sound" }))
            update.on_probation.emplace_back(part.value, 0, 1);
        peer::envelopeT message;
        message.body.Set(std::move(update));
        m_dispatcher.receive(node_id { "other" }, message);
    });
    // The node in charge does not know yet whether another one was before.
    for (const auto* part : { "deadly", "sound" }) {
        const auto refusal = sendWithPart(part);
        EXPECT_EQ(refusal.status, 503U) << part;
        EXPECT_TRUE(refusal.header("Retry-After")) << part;
    }
    std::this_thread::sleep_for(3200ms);
    EXPECT_EQ(requestsAtAll(), 0);
    EXPECT_EQ(sendWithPart("deadly").status, 502U);
    EXPECT_EQ(sendWithPart("deadly").status, 503U);
    EXPECT_EQ(requestsAtAll(), 1);
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(sendWithPart("sound").status, 200U);
    std::this_thread::sleep_for(1200ms);
    EXPECT_EQ(sendWithPart("deadly").status, 503U);
    EXPECT_EQ(requestsAtAll(), 4);
}

TEST_F(request_dispatcher_test, connectionsLostByLivingEndpoints_quarantineNoPart)
{
    // Guards against taking lost answers and reset connections for crashes: their endpoints go on to serve others.
    for (int i = 0; i < 4; ++i)
        endpoint("endpoint-" + std::to_string(i), abortResponse());
    start(true, false, 1);
    for (int i = 0; i < 6; ++i) {
        EXPECT_EQ(sendWithPart("sound").status, 502U);
        std::this_thread::sleep_for(250ms);
    }
    EXPECT_EQ(sendWithPart("sound").status, 502U);
}

TEST_F(request_dispatcher_test, limitNamedByEndpoint_spreadsItsRequestsOverTime)
{
    // An endpoint got all requests at once although its answers named a limit.
    endpoint("one", respondWith(200, { { "limit", "10" } }));
    start(true, false, 1, 1s);
    EXPECT_EQ(send("GET").status, 200U);
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(send("GET").status, 200U);
    EXPECT_GE(std::chrono::steady_clock::now() - begin, 200ms);
}

TEST_F(request_dispatcher_test, requestsWithoutTokens_useAllEndpointsOfTheirService)
{
    // A response of 256 events was expected, which only the endpoint that had answered fast seemed to finish in time; the others stayed
    // idle for good while requests waited.
    std::atomic<bool> holds = false;
    const auto answer = [&](const http_request&, const std::shared_ptr<http_responder>& responder) {
        if (holds)
            m_pendingResponders.push_back(responder);
        else
            responder->send({ 200, {}, "whole" });
    };
    endpoint("one", answer);
    endpoint("other", answer);
    start(true, false, 1, 1500ms);
    for (int i = 0; i < 6; ++i)
        EXPECT_EQ(send("GET").status, 200U);
    const auto before = requestsAtAll();
    holds = true;
    std::vector<std::jthread> callers;
    for (int i = 0; i < 8; ++i)
        callers.emplace_back([this, i] { send("GET", "/p/x", "held" + std::to_string(i)); });
    const auto end = std::chrono::steady_clock::now() + 1s;
    while (requestsAtAll() < before + 8 && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(5ms);
    EXPECT_EQ(requestsAtAll(), before + 8);
    run([this] {
        for (const auto& responder : std::exchange(m_pendingResponders, {}))
            responder->send({ 200, {}, "whole" });
    });
}

TEST_F(request_dispatcher_test, promptParts_ofAnsweredRequest_areStatedAsKept)
{
    // Guards against parts that are decoded but do not reach the placement, and against a log that does not show what it weighed.
    endpoint("one", respondWith(200));
    m_engineMemory = tokens { 500'000 };
    start(true, false, 1);
    testing::internal::CaptureStdout();
    EXPECT_EQ(sendWithPrefix("a1", "5000").status, 200U);
    EXPECT_EQ(sendWithPrefix("a2", "5000").status, 200U);
    EXPECT_EQ(sendWithPrefix("a3", "60").status, 200U);
    run([this] { m_log.flush(); });
    const auto log = testing::internal::GetCapturedStdout();
    const auto sent = [&](const std::string& attempt, const std::string& end) {
        return std::regex_search(log, std::regex("event=request_sent [^\\n]*request=" + attempt + " [^\\n]*" + end + "\\n"));
    };
    EXPECT_TRUE(sent("a1", " kept_tokens=0 prefill_wait_ms=0")) << log;
    EXPECT_TRUE(sent("a2", " kept_tokens=5000 prefill_wait_ms=0")) << log;
    EXPECT_TRUE(sent("a3", " earlier_requests=[0-9]+")) << log;
}

TEST_F(request_dispatcher_test, placementQuery_namesCandidatesWithoutSending)
{
    // Guards against an answer that differs from what the placement knows, and against queries that take a slot.
    endpoint("one", respondWith(200));
    endpoint("other", respondWith(200));
    m_engineMemory = tokens { 500'000 };
    start(true, false, 1);
    EXPECT_EQ(sendWithPrefix("a1", "5000").status, 200U);
    const auto holder = requestsAt(0) > 0 ? "one" : "other";
    const auto ask = [this](const std::string& parameters) {
        http_response answer;
        run([&] { answer = m_dispatcher.answerPlacementQuery({ "GET", "/where?" + parameters }); });
        return answer;
    };
    const std::string question = "service=service&prompt=5300&output=10&parts=shared:5000,new:300";
    // The caller has the answer before the slot is given back.
    for (const auto end = std::chrono::steady_clock::now() + 5s;
         ask(question).body.find("running=1") != std::string::npos && std::chrono::steady_clock::now() < end;)
        std::this_thread::sleep_for(1ms);
    const auto answer = ask(question);
    EXPECT_EQ(answer.status, 200U);
    const std::regex expected(
        "pool=0 owner=\\S* asked=\\S* decides=1 nodes=1 view_age_ms=[0-9]+ late=0\npool=0 replica=" + std::string(holder)
        + " [^\n]* kept_tokens=5000 running=0 slots=4 memory=0 obstacle=none\npool=0 replica=[^\n]* kept_tokens=0 [^\n]*\n");
    EXPECT_TRUE(std::regex_match(answer.body, expected)) << answer.body;
    EXPECT_EQ(requestsAtAll(), 1);
    for (const char* wrong : { "prompt=5300", "service=unknown", "service=service&prompt=-1", "service=service&parts=shared" })
        EXPECT_EQ(ask(wrong).status, 400U) << wrong;
    EXPECT_EQ(
        ask("service=service&parts=a:b").body, "field=parts value=\"a:b\" remedy=\"give ID:TOKENS for each part, separated by commas\"\n");
}

} // namespace
} // namespace carawaylink::gateway
