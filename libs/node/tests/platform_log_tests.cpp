#include "platform_log.h"

#include "base/error.h"

#include <gtest/gtest.h>

namespace carawaylink {
namespace {

// Guards against records whose decoded bytes differ from the appended ones.
TEST(platform_log_test, page_contains_appended_record_bytes)
{
    const auto page
        = parseLogPage(R"({"first":2,"next":5,"records":[{"offset":3,"id":"a","data":"aGk="},{"offset":4,"id":"b","data":""}]})");
    EXPECT_EQ(page.first, log_offset(2));
    EXPECT_EQ(page.next, log_offset(5));
    ASSERT_EQ(page.records.size(), 2U);
    EXPECT_EQ(page.records[0].data, "hi");
    EXPECT_EQ(page.records[1].data, "");
}

// Guards against a malformed response that terminates the daemon through an exception its readers do not handle.
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
