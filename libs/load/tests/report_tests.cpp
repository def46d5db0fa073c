#include "load/report.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace carawaylink::load {
namespace {

class reports : public testing::Test {
protected:
    void TearDown() override { std::filesystem::remove_all(m_directory); }

    std::string read(const std::string& name) const
    {
        std::ifstream in(m_directory / name);
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    }

    std::filesystem::path m_directory = std::filesystem::path(testing::TempDir())
        / (std::string("load-report-") + testing::UnitTest::GetInstance()->current_test_info()->name());
};

// Guards against a page that refers to plots which gnuplot did not draw, and against markup from a history in the page.
TEST_F(reports, page_shows_its_plots_and_fault_marks)
{
    const auto merged = history::parse(
        { R"({"source":"caller","event":"sent","t_us":1000000,"call":"a","attempt":1,"tier":0,"service":"<b>","prompt_tokens":10}
{"source":"caller","event":"answered","t_us":1500000,"call":"a","attempt":1,"tier":0,"service":"<b>","whole":true,"tokens":2,"expected_tokens":2,"first_token_us":200000,"latency_us":500000,"deadline_ms":1000}
{"source":"caller","event":"token_gaps","t_us":1500000,"tier":0,"buckets":[[300000,1]]}
{"source":"engine","endpoint":"e1","t_us":1100000,"event":"started","request":"q","user":"a","prompt_tokens":10,"cached_tokens":0}
{"source":"fault","event":"kill_\"node\"","t_us":1200000}
)" });
    writeReport(merged, {}, m_directory.string());
    const auto page = read("index.html");
    EXPECT_NE(page.find("P3 ok checked=1"), std::string::npos);
    EXPECT_EQ(page.find("<b>"), std::string::npos);
    for (const auto* plot : { "goodput.svg", "prefill.svg", "first_token.svg", "between_tokens.svg", "whole.svg" }) {
        EXPECT_NE(page.find(plot), std::string::npos) << plot;
        EXPECT_NE(read(plot).find("</svg>"), std::string::npos) << plot;
    }
    EXPECT_NE(read("goodput.svg").find("kill_node"), std::string::npos);
}

// Guards against a report of an empty history failing inside gnuplot.
TEST_F(reports, empty_history_gives_a_page_without_plots)
{
    writeReport(history::parse({ "" }), {}, m_directory.string());
    EXPECT_EQ(read("index.html").find("<img"), std::string::npos);
}

} // namespace
} // namespace carawaylink::load
