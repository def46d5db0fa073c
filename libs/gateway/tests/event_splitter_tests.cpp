#include "gateway/event_splitter.h"

#include <gtest/gtest.h>

namespace carawaylink::gateway {
namespace {

TEST(event_splitter_test, eventInSeveralChunks_isReturnedOnceComplete)
{
    // A caller must never receive a partial event, because the stream could not be resumed after it.
    event_splitter splitter;
    EXPECT_EQ(splitter.append("id: 1\nda"), "");
    EXPECT_TRUE(splitter.hasPartialEvent());
    EXPECT_EQ(splitter.append("ta: x\n\nid: 2\n"), "id: 1\ndata: x\n\n");
    EXPECT_EQ(splitter.lastId(), 1U);
}

TEST(event_splitter_test, resumedStream_dropsPartialEventAndKnownIds)
{
    // Guards against duplicate events after a stream moved to another endpoint.
    event_splitter splitter;
    splitter.append("id: 1\ndata: a\n\nid: 2\nda");
    splitter.restart();
    EXPECT_EQ(splitter.append("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
    EXPECT_EQ(splitter.eventCount(), 2U);
}

TEST(event_splitter_test, skippedId_isReportedAsGap)
{
    // Guards against a stream that appears complete although an event is missing.
    event_splitter splitter;
    splitter.append("id: 1\ndata: a\n\n");
    EXPECT_EQ(splitter.append("id: 3\ndata: c\n\n"), "");
    EXPECT_TRUE(splitter.hasGap());
}

TEST(event_splitter_test, resumingCaller_receivesLaterEventsOnly)
{
    event_splitter splitter(std::uint64_t { 4 });
    EXPECT_EQ(splitter.append("id: 4\ndata: d\n\nid: 5\ndata: e\n\n"), "id: 5\ndata: e\n\n");
}

TEST(event_splitter_test, eventsSeparatedByCrLf_areRecognized)
{
    event_splitter splitter;
    EXPECT_EQ(splitter.append("id: 1\r\ndata: a\r\n\r\n"), "id: 1\r\ndata: a\r\n\r\n");
    EXPECT_EQ(splitter.lastId(), 1U);
}

TEST(event_splitter_test, eventWithoutEnd_isDroppedAtTheSizeLimit)
{
    // An endpoint in trouble sent bytes without the end of an event; at the speed of a link they filled the memory of a vm in seconds.
    event_splitter splitter;
    const std::string chunk(65536, 'x');
    for (int i = 0; i < 1000; ++i)
        EXPECT_EQ(splitter.append(chunk), "");
    EXPECT_TRUE(splitter.hasOversizedEvent());
    EXPECT_FALSE(splitter.hasPartialEvent()) << "the bytes are still held";
    splitter.restart();
    EXPECT_EQ(splitter.append("id: 1\n\n"), "id: 1\n\n");
}

} // namespace
} // namespace carawaylink::gateway
