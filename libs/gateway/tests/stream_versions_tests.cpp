#include "peer_codec.h"
#include "stream_versions.h"

#include <gtest/gtest.h>

namespace carawaylink::gateway {
namespace {

using namespace std::chrono_literals;

const service_id service { "llm" };

/// One node and a store of which the test decides what it answers and when.
class stream_versions_test : public testing::Test {
protected:
    stream_versions_test()
    {
        m_streams.setStore({ [this](const std::string& record, std::function<void(bool)> onDone) {
                                m_records.push_back(record);
                                m_appends.push_back(std::move(onDone));
                            },
            [this](std::function<void(const start_records&)> onDone) { m_reads.push_back(std::move(onDone)); },
            [](const streams::software_version&, const std::function<void()>&) {}, [] {} });
        m_streams.setServices({ service });
        std::vector<discovery::endpoint_record> records;
        for (const auto* version : { "v1", "v2" }) {
            discovery::endpoint_record record { discovery::replica_id { version }, service };
            record.version = version;
            records.push_back(record);
        }
        m_streams.setEndpoints({ { service, records } }, m_now);
        m_streams.setBases({ { service, "v1" } }, m_now);
    }

    bool begin(const std::string& attempt, const std::string& version, std::uint32_t send = 1)
    {
        return m_streams.begin(
            { stream_versions::idOf(attempt), send, { service, version } }, [this] { ++m_recorded; }, m_now);
    }

    void pass(duration time)
    {
        for (const auto end = m_now + time; m_now < end; m_now += 25ms)
            m_streams.tick(m_members, m_now);
    }

    void find(const std::string& attempt)
    {
        m_streams.find(
            stream_versions::idOf(attempt), service, [this](const stream_binding& binding) { m_found.push_back(binding); }, m_now);
    }

    void answerRead(std::vector<std::string> records)
    {
        const auto read = std::move(m_reads.back());
        m_reads.pop_back();
        read({ std::move(records), true });
    }

    decision_log m_log { "test" };
    gateway_metrics m_metrics;
    node_id m_self { "10.0.0.1:1" };
    monotonic_time m_now = std::chrono::steady_clock::now();
    fleet_members m_members { m_self, 0, m_now };
    stream_versions m_streams { m_self, m_log, m_metrics, [](const node_id&, const peer::envelopeT&) {} };
    std::vector<std::string> m_records;
    std::vector<std::function<void(bool)>> m_appends;
    std::vector<std::function<void(const start_records&)>> m_reads;
    std::vector<stream_binding> m_found;
    int m_recorded = 0;
};

TEST_F(stream_versions_test, streamAtTheBase_goesOutWithoutARecord)
{
    EXPECT_TRUE(begin("a", "v1"));
    pass(100ms);
    EXPECT_TRUE(m_records.empty());
}

// Guards against events that a caller has before anybody but this node could tell their version.
TEST_F(stream_versions_test, streamAtAnotherVersion_goesOutOnceItsRecordIsConfirmed)
{
    EXPECT_FALSE(begin("a", "v2"));
    pass(100ms);
    ASSERT_EQ(m_records.size(), 1U);
    EXPECT_EQ(m_recorded, 0);
    m_appends.front()(true);
    EXPECT_EQ(m_recorded, 1);
    EXPECT_EQ(decodeStartRecord(m_records.front()).front().software.version, "v2");
}

// Guards against the record of an earlier send that stands for the send which begins the stream.
TEST_F(stream_versions_test, laterSendAtTheBase_isRecordedIfAnEarlierOneMayBe)
{
    EXPECT_FALSE(begin("a", "v2", 1));
    EXPECT_FALSE(begin("a", "v1", 2));
    pass(100ms);
    const auto starts = decodeStartRecord(m_records.front());
    EXPECT_TRUE(std::ranges::any_of(starts, [](const auto& start) { return start.software.version == "v1" && start.send == 2; }));
}

TEST_F(stream_versions_test, streamOfThisNode_isKnownWithoutTheStore)
{
    begin("a", "v2");
    find("a");
    ASSERT_EQ(m_found.size(), 1U);
    EXPECT_EQ(m_found.front().source, version_source::own);
    EXPECT_EQ(m_found.front().software->version, "v2");
}

TEST_F(stream_versions_test, streamOfAnotherNode_isFoundInTheStore)
{
    find("a");
    answerRead({ encodeStartRecord({ { stream_versions::idOf("a"), 1, { service, "v2" } } }) });
    ASSERT_EQ(m_found.size(), 1U);
    EXPECT_EQ(m_found.front().source, version_source::record);
    EXPECT_EQ(m_found.front().software->version, "v2");
}

TEST_F(stream_versions_test, streamWithoutARecord_beganAtTheBase)
{
    find("a");
    answerRead({});
    ASSERT_EQ(m_found.size(), 1U);
    EXPECT_EQ(m_found.front().source, version_source::base);
    EXPECT_EQ(m_found.front().software->version, "v1");
}

// Guards against an answer from a read that began before the caller came back, when its record may not have been there.
TEST_F(stream_versions_test, readInProgress_doesNotDecideOnALaterLookup)
{
    find("a");
    m_now += 10ms;
    find("b");
    answerRead({});
    EXPECT_EQ(m_found.size(), 1U);
    ASSERT_EQ(m_reads.size(), 1U);
}

// Guards against a guess: a node that cannot know the version must not place the stream.
TEST_F(stream_versions_test, storeThatDoesNotAnswer_leavesTheVersionUnknown)
{
    find("a");
    pass(900ms);
    EXPECT_TRUE(m_found.empty());
    pass(300ms);
    ASSERT_EQ(m_found.size(), 1U);
    EXPECT_FALSE(m_found.front().software);
}

// A caller that does not name the attempt could have any version.
TEST_F(stream_versions_test, unnamedStream_isUnknownWhileTwoVersionsServe)
{
    find("");
    answerRead({});
    ASSERT_EQ(m_found.size(), 1U);
    EXPECT_FALSE(m_found.front().software);
}

TEST_F(stream_versions_test, unconfirmedStarts_showThatTheStoreTakesNoRecords)
{
    begin("a", "v2");
    pass(400ms);
    EXPECT_FALSE(m_streams.isDelayed());
    pass(200ms);
    EXPECT_TRUE(m_streams.isDelayed());
    m_appends.back()(true);
    pass(25ms);
    EXPECT_FALSE(m_streams.isDelayed());
}

TEST_F(stream_versions_test, recordThatCannotBeRead_isSkipped)
{
    EXPECT_TRUE(decodeStartRecord("").empty());
    EXPECT_TRUE(decodeStartRecord(std::string(40, '\xff')).empty());
}

} // namespace
} // namespace carawaylink::gateway
