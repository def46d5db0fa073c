#include "decision_log.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace carawaylink::gateway {
namespace {

using namespace std::chrono_literals;

class decision_log_test : public testing::Test {
protected:
    void SetUp() override
    {
        m_savedStdout = dup(STDOUT_FILENO);
        ASSERT_EQ(pipe(m_pipe), 0);
        dup2(m_pipe[1], STDOUT_FILENO);
        fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
    }

    void TearDown() override
    {
        dup2(m_savedStdout, STDOUT_FILENO);
        for (const int descriptor : { m_savedStdout, m_pipe[0], m_pipe[1] })
            close(descriptor);
    }

    std::string readAll()
    {
        std::string text(1 << 20, '\0');
        const auto size = read(m_pipe[0], text.data(), text.size());
        text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
        return text;
    }

    static std::size_t count(const std::string& text, const std::string& part)
    {
        std::size_t found = 0;
        for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
            ++found;
        return found;
    }

    int m_savedStdout = -1;
    int m_pipe[2] = { -1, -1 };
};

TEST_F(decision_log_test, burstOfServedRequests_doesNotSuppressLinesOfFailedOnes)
{
    // Under load, the failed requests that need diagnosis are the rare ones.
    decision_log log("n1");
    for (int i = 0; i < 1000; ++i)
        log.event("request_ended", "served").field("request", i);
    log.event("request_ended", "unknown_outcome").field("request", "lost");
    log.flush();
    const auto text = readAll();
    EXPECT_EQ(count(text, "event=request_ended"), 41U);
    EXPECT_EQ(count(text, "request=lost"), 1U);
    EXPECT_EQ(count(text, "of=request_ended/served count=960"), 1U);
}

TEST_F(decision_log_test, burstOfOneEvent_isLimitedAndDroppedLinesAreCounted)
{
    // A burst must not spend CPU time on logging, and the number of missing lines must be known.
    decision_log log("n1");
    for (int i = 0; i < 1000; ++i)
        log.event("request_sent").field("request", i);
    log.event("request_refused").field("request", "r");
    log.flush();
    const auto text = readAll();
    EXPECT_EQ(count(text, "event=request_sent"), 40U);
    EXPECT_EQ(count(text, "event=request_refused"), 1U);
    EXPECT_EQ(count(text, "event=lines_left_out"), 1U);
    EXPECT_NE(text.find("of=request_sent count=960"), std::string::npos);
}

TEST_F(decision_log_test, fullPipe_dropsLinesWithoutBlocking)
{
    // A consumer that stops reading must not block requests.
    decision_log log("n1");
    const std::string padding(500, 'x');
    const auto startedAt = std::chrono::steady_clock::now();
    for (int second = 0; second < 40; ++second) {
        for (int i = 0; i < 40; ++i)
            log.event("request_sent").field("detail", padding);
        log.flush();
    }
    EXPECT_LT(std::chrono::steady_clock::now() - startedAt, 5s);
    // The consumer reads again.
    for (int i = 0; i < 20; ++i) {
        readAll();
        log.flush();
    }
    log.event("request_sent").field("request", "after");
    log.flush();
    EXPECT_NE(readAll().find("request=after"), std::string::npos);
}

TEST_F(decision_log_test, line_startsWithEventAndContainsNodeName)
{
    decision_log log("n1");
    log.event("stop").field("active", 3);
    log.flush();
    const auto text = readAll();
    EXPECT_TRUE(text.starts_with("event=stop time_ms="));
    EXPECT_NE(text.find(" node=n1 active=3\n"), std::string::npos);
}

} // namespace
} // namespace carawaylink::gateway
