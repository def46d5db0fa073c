#include "gateway_test_fixture.h"
#include "store_follower.h"

#include "base/error.h"
#include "http/io_threads.h"
#include "http/server.h"

#include <atomic>
#include <condition_variable>
#include <gtest/gtest.h>
#include <mutex>
#include <thread>

namespace carawaylink::gateway {
namespace {

using namespace std::chrono_literals;

// Response bodies of the fake store: "END key=value key=value"; a key without "=" is deleted.
class text_codec : public test_codec {
public:
    http_request readSnapshot(store_topic, const std::string&) const override { return { "GET", "/newest", {}, {} }; }
    http_request readLog(store_topic, std::uint64_t from, duration) const override
    {
        return { "GET", "/log?from=" + std::to_string(from), {}, {} };
    }
    snapshot_page decodeSnapshot(const http_response& response) const override
    {
        const auto page = decodeLog(response);
        return { page.records, false, page.endOffset };
    }
    log_page decodeLog(const http_response& response) const override
    {
        std::istringstream words(response.body);
        log_page page;
        if (!(words >> page.endOffset))
            throw error(error_kind::invalid_message, "no end", "none");
        for (std::string word; words >> word;) {
            const auto equals = word.find('=');
            page.records.push_back(
                { word.substr(0, equals), equals == std::string::npos ? std::nullopt : std::optional(word.substr(equals + 1)) });
        }
        return page;
    }
    bool isOffsetExpired(const http_response& response) const override { return response.status == 410; }
};

class store_follower_test : public testing::Test {
protected:
    store_follower_test()
        : m_threads(1)
        , m_log("test")
        , m_client(m_threads.context(0))
        , m_server(m_threads, {},
              [this](const http_request& request, const std::shared_ptr<http_responder>& responder) { respond(request, responder); })
        , m_address(m_server.listen("127.0.0.1:0"))
    {
    }

    ~store_follower_test() override
    {
        m_threads.stop();
        // Responders must not outlive the server and its threads.
        m_held.clear();
    }

    void start()
    {
        const auto recordAll = [this](const char* kind) {
            return [this, kind](const std::vector<store_record>& records) {
                for (const auto& record : records)
                    recordEvent(std::string(kind) + ":" + record.key + (record.value ? "=" + *record.value : ""));
            };
        };
        m_follower = std::make_shared<store_follower>(m_threads.context(0), m_client, m_address, m_codec, m_log,
            follow_options { store_topic::endpoints, {}, m_interval },
            store_follower::handlers { recordAll("newest"), recordAll("log"), [this](duration) { recordEvent("returned"); },
                [this](std::uint64_t history) { recordEvent("history:" + std::to_string(history)); } });
        m_threads.post(0, [this] { m_follower->start(); });
    }

    // Runs on the event loop thread.
    void respond(const http_request& request, const std::shared_ptr<http_responder>& responder)
    {
        const std::lock_guard guard(m_mutex);
        if (m_isHolding)
            m_held.emplace_back([this, request, responder] { respond(request, responder); });
        else
            answer(request, *responder);
    }

    void answer(const http_request& request, http_responder& responder)
    {
        if (m_beforeResponse)
            m_beforeResponse(request);
        ++m_requests;
        if (m_isDown) {
            responder.abort();
        } else if (request.path() == "/newest") {
            responder.send({ 200, headers(), m_snapshot });
        } else {
            const auto from = std::stoull(request.query("from").value_or("0"));
            m_lastFrom = from;
            if (from < m_firstOffset)
                responder.send({ 410, headers(), "" });
            else
                responder.send({ 200, headers(), m_logByOffset.contains(from) ? m_logByOffset[from] : std::to_string(from) });
        }
    }

    std::vector<http_header> headers() const
    {
        return m_history == 0 ? std::vector<http_header> {} : std::vector<http_header> { { "history", std::to_string(m_history) } };
    }

    void recordEvent(const std::string& text)
    {
        const std::lock_guard guard(m_mutex);
        m_received.push_back(text);
        m_changed.notify_all();
    }

    bool waitFor(const std::string& text)
    {
        std::unique_lock guard(m_mutex);
        return m_changed.wait_for(guard, 10s, [&] { return std::ranges::find(m_received, text) != m_received.end(); });
    }

    bool waitUntil(const std::function<bool()>& condition)
    {
        for (const auto end = std::chrono::steady_clock::now() + 10s; std::chrono::steady_clock::now() < end;) {
            {
                const std::lock_guard guard(m_mutex);
                if (condition())
                    return true;
            }
            std::this_thread::sleep_for(1ms);
        }
        return false;
    }

    bool waitUntilHeld(std::size_t count)
    {
        return waitUntil([&] { return m_held.size() >= count; });
    }

    void awaitFurtherRequests(std::size_t count)
    {
        std::size_t before = 0;
        set([&] { before = m_requests; });
        ASSERT_TRUE(waitUntil([&] { return m_requests >= before + count; }));
    }

    void set(std::function<void()> change)
    {
        const std::lock_guard guard(m_mutex);
        change();
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_received;
    std::string m_snapshot = "2 a=1";
    std::map<std::uint64_t, std::string> m_logByOffset;
    std::uint64_t m_firstOffset = 0;
    std::uint64_t m_lastFrom = 0;
    // History of the store's answers; 0 for answers that do not tell.
    std::uint64_t m_history = 0;
    bool m_isDown = false;
    duration m_interval = 5ms;
    // Answers of the store that are kept back.
    bool m_isHolding = false;
    std::vector<std::function<void()>> m_held;
    std::size_t m_requests = 0;
    // Called while a read of the follower is in progress.
    std::function<void(const http_request&)> m_beforeResponse;
    text_codec m_codec;
    io_threads m_threads;
    decision_log m_log;
    http_client m_client;
    http_server m_server;
    std::string m_address;
    std::shared_ptr<store_follower> m_follower;
};

TEST_F(store_follower_test, start_readsSnapshotThenLogFromItsEnd)
{
    m_logByOffset[2] = "4 b=2 a";
    start();
    EXPECT_TRUE(waitFor("newest:a=1"));
    EXPECT_TRUE(waitFor("log:b=2"));
    EXPECT_TRUE(waitFor("log:a"));
}

TEST_F(store_follower_test, storeThatFails_isAskedLessAndLessOften)
{
    // 118 nodes that each repeat three reads every 250 ms load a store in trouble with 1,400 calls a second, all of which are priced.
    set([this] { m_isDown = true; });
    start();
    std::this_thread::sleep_for(3s);
    set([this] { EXPECT_LE(m_requests, 6U); });
    set([this] { m_isDown = false; });
    EXPECT_TRUE(waitFor("newest:a=1"));
}

TEST_F(store_follower_test, topicNeverLoaded_isReadOftenByTheFirstNodes)
{
    // Delays that had grown to a second postponed the first endpoints of the whole fleet after the store answered again.
    set([this] { m_isDown = true; });
    start();
    std::this_thread::sleep_for(1s);
    m_threads.post(0, [this] { m_follower->setRetriesFirstReadOften(true); });
    set([this] { m_requests = 0; });
    std::this_thread::sleep_for(2s);
    set([this] {
        EXPECT_GE(m_requests, 6U);
        EXPECT_LE(m_requests, 9U);
    });
}

TEST_F(store_follower_test, topicLoadedBefore_isReadLessAndLessOftenByTheFirstNodesToo)
{
    // Guards against needless calls of nodes that have what they need, as long as the store is away.
    start();
    ASSERT_TRUE(waitFor("newest:a=1"));
    m_threads.post(0, [this] { m_follower->setRetriesFirstReadOften(true); });
    set([this] {
        m_isDown = true;
        m_requests = 0;
    });
    std::this_thread::sleep_for(3s);
    set([this] { EXPECT_LE(m_requests, 6U); });
}

TEST_F(store_follower_test, readNowAfterThePauseHasEnded_startsOneRead)
{
    // A process resumes with its timer expired and reads at once: two reads from one offset, and a third before the second answer, counted
    // a page of the log twice and skipped as many records (DRAIN, days with nodes turned away).
    m_interval = 40ms;
    start();
    ASSERT_TRUE(waitFor("newest:a=1"));
    for (int round = 0; round < 5; ++round) {
        const auto offset = std::to_string(2 + 2 * round);
        m_threads.post(0, [this] {
            std::this_thread::sleep_for(2 * m_interval);
            // The event loop queues the expired timer behind this task, where it can no longer be cancelled.
            m_threads.post(0, [this] {
                set([this] { m_isHolding = true; });
                m_follower->readNow();
            });
        });
        std::this_thread::sleep_for(5 * m_interval);
        // The reads that are in progress are not answered yet; another one is demanded.
        m_threads.post(0, [this] { m_follower->readNow(); });
        std::this_thread::sleep_for(2 * m_interval);
        set([&] {
            EXPECT_EQ(m_held.size(), 1U) << round;
            m_logByOffset[2 + 2 * static_cast<std::uint64_t>(round)]
                = std::to_string(4 + 2 * round) + " b" + offset + "=2 c" + offset + "=3";
            m_isHolding = false;
        });
        m_threads.post(0, [this] {
            for (const auto& answer : std::exchange(m_held, {}))
                answer();
        });
        ASSERT_TRUE(waitFor("log:c" + offset + "=3"));
    }
    std::this_thread::sleep_for(2 * m_interval);
    const std::lock_guard guard(m_mutex);
    EXPECT_EQ(m_lastFrom, 12U);
    EXPECT_EQ(m_received.size(), 11U);
}

TEST_F(store_follower_test, shorterWait_replacesTheReadThatWaitsLonger)
{
    // A node that began to read for all others went on waiting for half a minute on a connection that had fallen silent.
    start();
    ASSERT_TRUE(waitFor("newest:a=1"));
    m_threads.post(0, [this] { m_follower->setReadTiming(30s, 5ms); });
    awaitFurtherRequests(3);
    set([this] { m_isHolding = true; });
    ASSERT_TRUE(waitUntilHeld(1));
    set([this] { m_logByOffset[2] = "3 b=2"; });
    m_threads.post(0, [this] { m_follower->setReadTiming(1500ms, 5ms); });
    ASSERT_TRUE(waitUntilHeld(2));
    set([this] { m_isHolding = false; });
    // The first read stays without an answer.
    m_threads.post(0, [this] { std::exchange(m_held, {}).at(1)(); });
    EXPECT_TRUE(waitFor("log:b=2"));
}

TEST_F(store_follower_test, longerWait_leavesTheReadInProgressAlone)
{
    // Guards against calls of all nodes whenever the readers change.
    start();
    ASSERT_TRUE(waitFor("newest:a=1"));
    m_threads.post(0, [this] { m_follower->setReadTiming(1500ms, 5ms); });
    awaitFurtherRequests(3);
    set([this] { m_isHolding = true; });
    ASSERT_TRUE(waitUntilHeld(1));
    m_threads.post(0, [this] { m_follower->setReadTiming(30s, 5ms); });
    std::this_thread::sleep_for(100ms);
    set([this] { EXPECT_EQ(m_held.size(), 1U); });
}

TEST_F(store_follower_test, logRecordsOlderThanCopyReceivedDuringRead_areNotDelivered)
{
    // A copy from a peer says that an endpoint leaves; the older record of a read in progress would make it usable again.
    m_logByOffset[2] = "5 a=ready b=2";
    m_logByOffset[4] = "5 a=leaving";
    m_beforeResponse = [this](const http_request& request) {
        if (request.query("from").value_or("") == "2")
            m_follower->skipTo({ 0, 4 });
    };
    start();
    EXPECT_TRUE(waitFor("log:a=leaving"));
    const std::lock_guard guard(m_mutex);
    EXPECT_EQ(m_received, (std::vector<std::string> { "newest:a=1", "log:a=leaving" }));
}

TEST_F(store_follower_test, snapshotOlderThanCopyReceivedDuringRead_isNotDelivered)
{
    m_logByOffset[7] = "8 c=3";
    m_beforeResponse = [this](const http_request& request) {
        if (request.path() == "/newest")
            m_follower->skipTo({ 0, 7 });
    };
    start();
    EXPECT_TRUE(waitFor("log:c=3"));
    const std::lock_guard guard(m_mutex);
    EXPECT_EQ(m_received, std::vector<std::string> { "log:c=3" });
}

TEST_F(store_follower_test, expiredOffset_triggersNewSnapshot)
{
    // The store may truncate its log while a node reads slowly.
    start();
    ASSERT_TRUE(waitFor("newest:a=1"));
    set([this] {
        m_firstOffset = 9;
        m_snapshot = "9 c=3";
    });
    EXPECT_TRUE(waitFor("newest:c=3"));
}

TEST_F(store_follower_test, snapshotOfLaterHistoryThatEndsBelowTheOffset_isDelivered)
{
    // The store came back from an older copy; the snapshot was dropped for ever, as if a copy of a peer were newer.
    m_snapshot = "12 a=1";
    m_history = 1;
    start();
    ASSERT_TRUE(waitFor("newest:a=1"));
    set([this] {
        m_history = 2;
        m_snapshot = "4 c=3";
    });
    EXPECT_TRUE(waitFor("newest:c=3"));
    set([this] { m_logByOffset[4] = "5 d=4"; });
    EXPECT_TRUE(waitFor("log:d=4"));
    const std::lock_guard guard(m_mutex);
    EXPECT_LT(std::ranges::find(m_received, "history:2"), std::ranges::find(m_received, "newest:c=3"));
}

TEST_F(store_follower_test, recordsOfLaterHistoryAtTheOldOffset_areNotTakenForTheNextOnes)
{
    // The new log has grown past the old offset, so that no 410 tells that records were missed.
    m_history = 1;
    start();
    ASSERT_TRUE(waitFor("newest:a=1"));
    set([this] {
        m_history = 2;
        m_snapshot = "6 c=3";
        m_logByOffset[2] = "6 x=1";
    });
    EXPECT_TRUE(waitFor("newest:c=3"));
    const std::lock_guard guard(m_mutex);
    EXPECT_EQ(std::ranges::find(m_received, "log:x=1"), m_received.end());
}

TEST_F(store_follower_test, lateAnswerOfEarlierHistory_isNotDelivered)
{
    // An answer from before the store came back would revert what was read since, or move the offset.
    m_history = 2;
    start();
    ASSERT_TRUE(waitFor("newest:a=1"));
    set([this] {
        m_history = 1;
        m_logByOffset[2] = "9 x=1";
    });
    std::this_thread::sleep_for(100ms);
    set([this] {
        m_history = 2;
        m_logByOffset[2] = "3 d=4";
    });
    EXPECT_TRUE(waitFor("log:d=4"));
    const std::lock_guard guard(m_mutex);
    EXPECT_EQ(std::ranges::find(m_received, "log:x=1"), m_received.end());
}

TEST_F(store_follower_test, laterHistoryThatAPeerTells_isReadAtOnce)
{
    // A read that waits at the store for half a minute does not notice that the store came back.
    m_history = 1;
    start();
    ASSERT_TRUE(waitFor("newest:a=1"));
    set([this] {
        m_history = 2;
        m_snapshot = "1 c=3";
    });
    m_threads.post(0, [this] { m_follower->enterHistory(2); });
    EXPECT_TRUE(waitFor("newest:c=3"));
}

TEST_F(store_follower_test, copyOfLaterHistory_replacesThePositionOfTheEarlierOne)
{
    // The position in the copy is lower, and newer.
    m_snapshot = "12 a=1";
    m_history = 1;
    start();
    ASSERT_TRUE(waitFor("newest:a=1"));
    set([this] {
        m_history = 2;
        m_snapshot = "3 c=3";
        m_logByOffset[4] = "5 d=4";
    });
    m_threads.post(0, [this] { m_follower->skipTo({ 2, 4 }); });
    EXPECT_TRUE(waitFor("log:d=4"));
    const std::lock_guard guard(m_mutex);
    EXPECT_EQ(std::ranges::find(m_received, "newest:c=3"), m_received.end());
}

TEST_F(store_follower_test, offsetThatTheStoreNeverHas_isAskedLessAndLessOften)
{
    // 410 and a snapshot followed each other without a pause, whatever the reason, 19,368 calls on one day.
    m_firstOffset = 1000;
    start();
    ASSERT_TRUE(waitFor("newest:a=1"));
    std::this_thread::sleep_for(2s);
    set([this] { EXPECT_LE(m_requests, 14U); });
}

TEST_F(store_follower_test, readDemandedWhileASnapshotIsDue_doesNotReplaceIt)
{
    // A node read an offset that the store did not have every 25 ms and never the snapshot, which kept the owner of a pool busy.
    m_snapshot = "0";
    m_firstOffset = 1;
    start();
    ASSERT_TRUE(waitUntil([this] { return m_requests >= 4; }));
    set([this] { m_requests = 0; });
    for (int i = 0; i < 100; ++i) {
        m_threads.post(0, [this] {
            m_follower->setReadTiming({}, 20ms);
            m_follower->readNow();
        });
        std::this_thread::sleep_for(10ms);
    }
    set([this] {
        EXPECT_LE(m_requests, 8U);
        m_snapshot = "2 a=1";
    });
    EXPECT_TRUE(waitFor("newest:a=1"));
}

TEST_F(store_follower_test, storeOutage_isReportedBeforeNextRecords)
{
    // Removals after an outage must be distinguishable from ordinary ones.
    start();
    ASSERT_TRUE(waitFor("newest:a=1"));
    set([this] { m_isDown = true; });
    std::this_thread::sleep_for(100ms);
    set([this] {
        m_isDown = false;
        m_logByOffset[2] = "3 a";
    });
    ASSERT_TRUE(waitFor("log:a"));
    const std::lock_guard guard(m_mutex);
    EXPECT_LT(std::ranges::find(m_received, "returned"), std::ranges::find(m_received, "log:a"));
}

TEST_F(store_follower_test, invalidResponse_doesNotAdvanceOffset)
{
    start();
    ASSERT_TRUE(waitFor("newest:a=1"));
    set([this] { m_logByOffset[2] = "torn"; });
    std::this_thread::sleep_for(50ms);
    set([this] { m_logByOffset[2] = "3 d=4"; });
    EXPECT_TRUE(waitFor("log:d=4"));
}

TEST_F(store_follower_test, recordsKnownFromPeer_areNotReadAgain)
{
    start();
    ASSERT_TRUE(waitFor("newest:a=1"));
    set([this] { m_logByOffset[7] = "8 e=5"; });
    m_threads.post(0, [this] { m_follower->skipTo({ 0, 7 }); });
    EXPECT_TRUE(waitFor("log:e=5"));
}

} // namespace
} // namespace carawaylink::gateway
