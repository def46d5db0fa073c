#include "quarantine/crash_correlator.h"

#include <gtest/gtest.h>

namespace carawaylink::quarantine {
namespace {

using namespace std::chrono_literals;

const service_hash service { 1 };
const part_hash common { 10 };
const part_hash deadly { 11 };
const part_hash rare { 12 };

class crash_correlator_test : public testing::Test {
protected:
    // An endpoint of its own ends with these parts, after the pause.
    void crash(std::vector<part_hash> parts, duration pause = 300ms, std::vector<part_hash> requests = {})
    {
        m_now += pause;
        m_correlator.addCrash({ service, replica_hash { ++m_replicas }, std::move(parts), std::move(requests) }, m_now, m_known, m_now);
    }

    void answer(part_hash part) { m_correlator.addAnswer({ service, part }, m_now); }

    std::vector<part_hash> suspects()
    {
        std::vector<part_hash> parts;
        for (const auto& entry : m_correlator.takeSuspects(m_known, m_now))
            parts.push_back(entry.part);
        return parts;
    }

    // Parts that are quarantined after the time in which nodes report answers; suspects are asked for, as a node does.
    std::vector<part_hash> quarantined()
    {
        std::vector<part_hash> parts;
        for (int step = 0; step < 4; ++step) {
            m_correlator.takeSuspects(m_known, m_now);
            m_now += 100ms;
            for (const auto& entry : m_correlator.takeDecisions(m_known, m_now))
                parts.push_back(entry.entry.part);
        }
        return parts;
    }

    crash_correlator m_correlator;
    quarantine_list m_known;
    monotonic_time m_now { 100s };
    std::uint64_t m_replicas = 0;
};

TEST_F(crash_correlator_test, partInThreeCrashesWithoutAnswer_isQuarantined)
{
    // Requests with one part went on to crash endpoint after endpoint, because no node related the crashes to what ran there.
    crash({ common, deadly });
    EXPECT_TRUE(suspects().empty());
    crash({ common, deadly });
    EXPECT_EQ(suspects(), (std::vector { common, deadly }));
    answer(common);
    crash({ common, deadly, rare });
    EXPECT_EQ(quarantined(), std::vector { deadly });
    EXPECT_TRUE(m_known.remaining(deadly, m_now));
}

TEST_F(crash_correlator_test, partThatIsAnsweredBetweenCrashes_isNeverQuarantined)
{
    // Guards against refusing the sound requests that share their other parts with those that crash endpoints.
    for (int i = 0; i < 20; ++i) {
        crash({ common });
        answer(common);
        EXPECT_TRUE(quarantined().empty());
    }
}

TEST_F(crash_correlator_test, endpointsThatEndTogether_quarantineNoPart)
{
    // Guards against blaming a popular part when a zone loses its endpoints at one moment.
    for (int i = 0; i < 8; ++i)
        crash({ common }, 10ms);
    EXPECT_TRUE(quarantined().empty());
}

TEST_F(crash_correlator_test, reportsOfOneEndpoint_countAsOneCrash)
{
    // Several nodes report the end of one endpoint, each with its own requests.
    for (int i = 0; i < 4; ++i) {
        m_now += 200ms;
        m_correlator.addCrash({ service, replica_hash { 1 }, { deadly } }, m_now, m_known, m_now);
    }
    EXPECT_TRUE(quarantined().empty());
}

TEST_F(crash_correlator_test, partInFewOfManyCrashes_isNotQuarantined)
{
    // Guards against refusing a rare part because endpoints end for other reasons all the time.
    for (int i = 0; i < 15; ++i)
        crash(i % 5 == 0 ? std::vector { rare } : std::vector<part_hash> {});
    EXPECT_TRUE(quarantined().empty());
}

TEST_F(crash_correlator_test, candidatesWithoutAnswers_quarantineDeepestPartFirst)
{
    // The first part is shared by all requests of the route; quarantining it would refuse them all, and no answer could clear it.
    for (int i = 0; i < 3; ++i)
        crash({ common, deadly });
    EXPECT_EQ(quarantined(), std::vector { deadly });
}

TEST_F(crash_correlator_test, partThatWasAnsweredBeforeItsCrashes_isQuarantinedAfterOthersAreCleared)
{
    // A part may become deadly with a new version of the endpoints; answers from before do not protect it.
    crash({ common, deadly });
    answer(common);
    answer(deadly);
    for (int i = 0; i < 3; ++i)
        crash({ common, deadly });
    suspects();
    answer(common);
    EXPECT_EQ(quarantined(), std::vector { deadly });
}

TEST_F(crash_correlator_test, twoDeadlyParts_areBothQuarantined)
{
    for (int i = 0; i < 3; ++i) {
        crash({ deadly });
        crash({ rare });
    }
    EXPECT_EQ(quarantined().size(), 2U);
}

TEST_F(crash_correlator_test, partQuarantinedElsewhere_explainsItsCrashes)
{
    // The node that correlated in parallel quarantined the part that all requests of the route share, out of the same crashes.
    for (int i = 0; i < 3; ++i)
        crash({ common, deadly });
    suspects();
    m_known.merge({ deadly, 1, 60s }, m_now);
    m_correlator.explainCrashes(deadly);
    crash({ common, deadly });
    EXPECT_TRUE(quarantined().empty());
}

TEST_F(crash_correlator_test, partAmongThoseOfManyRequests_isQuarantined)
{
    // An endpoint with a large batch reads a hundred prompts when it ends; the parts of the cause may be reported last.
    for (std::uint64_t i = 0; i < 3; ++i) {
        std::vector<part_hash> parts;
        for (std::uint64_t other = 0; other < 300; ++other)
            parts.emplace_back(1000 + 1000 * i + other);
        parts.push_back(deadly);
        crash(parts);
    }
    EXPECT_EQ(quarantined(), std::vector { deadly });
}

TEST_F(crash_correlator_test, partQuarantinedBefore_isQuarantinedByOneCrash)
{
    // After its time a quarantined part may take one more endpoint, not three.
    m_known.quarantine(deadly, m_now);
    m_now += 2min;
    crash({ common, deadly });
    EXPECT_EQ(quarantined(), std::vector { deadly });
    EXPECT_EQ(m_known.timesOf(deadly), 2U);
}

TEST_F(crash_correlator_test, crashesReportedAnewToAnotherNode_keepTheirTimes)
{
    // The node that correlates may be lost; its successor gets the recent crashes with their ages, all at once and out of order.
    for (const auto age : { 200ms, 900ms, 500ms })
        m_correlator.addCrash({ service, replica_hash { ++m_replicas }, { deadly } }, m_now - age, m_known, m_now);
    EXPECT_EQ(quarantined(), std::vector { deadly });
}

TEST_F(crash_correlator_test, requestWithoutPartsInThreeCrashes_isQuarantined)
{
    // Nothing related the crashes of endpoints whose requests have no prompt.
    for (int i = 0; i < 3; ++i)
        crash({}, 300ms, { deadly });
    EXPECT_EQ(quarantined(), (std::vector { deadly }));
}

TEST_F(crash_correlator_test, requestThatWasAnsweredBetweenCrashes_isNotQuarantined)
{
    // Guards a request that many callers send, and that stands on every endpoint that ends.
    for (int i = 0; i < 6; ++i) {
        crash({}, 300ms, { common });
        m_correlator.takeSuspects(m_known, m_now);
        answer(common);
    }
    EXPECT_TRUE(quarantined().empty());
}

TEST_F(crash_correlator_test, requestThatWasNeverAnswered_isQuarantinedByThreeCrashesAtOnce)
{
    // All endpoints of a small service end within a moment, and would again each time they are back.
    for (int i = 0; i < 3; ++i)
        crash({}, 10ms, { deadly });
    EXPECT_EQ(quarantined(), (std::vector { deadly }));
}

TEST_F(crash_correlator_test, requestThatWasAnsweredBefore_isNotQuarantinedByCrashesAtOnce)
{
    // A failure domain ends with a request on each of its endpoints that many callers send.
    crash({}, 10ms, { common });
    crash({}, 10ms, { common });
    m_correlator.takeSuspects(m_known, m_now);
    m_correlator.addAnswer({ service, common }, m_now - 5s);
    crash({}, 10ms, { common });
    EXPECT_TRUE(quarantined().empty());
}

TEST_F(crash_correlator_test, unansweredPartThatExplainsTheCrashes_isQuarantinedInsteadOfTheRequest)
{
    // The retries of one request crash three endpoints by themselves; the others with the part would crash further ones.
    for (int i = 0; i < 3; ++i)
        crash({ common }, 300ms, { deadly });
    EXPECT_EQ(quarantined(), (std::vector { common }));
}

TEST_F(crash_correlator_test, requestWhosePartsAreAnswered_isQuarantined)
{
    // All parts of its prompt are shared with sound requests.
    for (int i = 0; i < 3; ++i) {
        crash({ common }, 300ms, { deadly });
        m_correlator.takeSuspects(m_known, m_now);
        answer(common);
    }
    EXPECT_EQ(quarantined(), (std::vector { deadly }));
}

} // namespace
} // namespace carawaylink::quarantine
