#include "platform_log.h"

#include "base/error.h"

#include <gtest/gtest.h>

namespace carawaylink {
namespace {

// Guards against records that are read with other bytes than were appended.
TEST(platform_log_test, page_gives_the_records_bytes)
{
    const auto page
        = parseLogPage(R"({"first":2,"next":5,"records":[{"offset":3,"id":"a","data":"aGk="},{"offset":4,"id":"b","data":""}]})");
    EXPECT_EQ(page.first, log_offset(2));
    EXPECT_EQ(page.next, log_offset(5));
    ASSERT_EQ(page.records.size(), 2U);
    EXPECT_EQ(page.records[0].data, "hi");
    EXPECT_EQ(page.records[1].data, "");
}

// Guards against an answer that ends the daemon through an exception that its readers do not expect.
TEST(platform_log_test, malformed_page_throws_invalid_message)
{
    for (const auto* text : { "", "[]", "{}", R"({"first":-1,"next":0})", R"({"first":1.5,"next":0})", R"({"first":0,"next":1e300})",
             R"({"first":"0","next":0})", R"({"first":0,"next":0,"records":1})", R"({"first":0,"next":0,"records":[1]})",
             R"({"first":0,"next":0,"records":[{"offset":-1,"id":"a","data":""}]})",
             R"({"first":0,"next":0,"records":[{"offset":0,"id":"a","data":"?"}]})" })
        EXPECT_THROW(parseLogPage(text), error) << text;
}

} // namespace
} // namespace carawaylink
