#include "usage_ledger.h"

#include "base/error.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace carawaylink {
namespace {

using ledger_list = std::vector<usage_ledger>;

// Guards against usage that is counted twice or lost when records arrive late, repeated or out of order.
RC_GTEST_PROP(usage_ledger_test, records_merged_in_any_order_give_same_totals, ())
{
    ledger_list sources;
    for (std::uint64_t i = 0; i < 3; ++i)
        sources.emplace_back(process_identity { node_id("n" + std::to_string(i % 2)), incarnation(i) });
    usage_table expected;
    std::vector<std::string> records;
    const auto count = *rc::gen::inRange(1, 30);
    for (int i = 0; i < count; ++i) {
        slot_release release;
        release.promptTokens = tokens(*rc::gen::inRange(0, 100));
        release.cachedTokens = tokens(*rc::gen::inRange(0, 100));
        release.outputTokens = tokens(*rc::gen::inRange(0, 100));
        release.total = std::chrono::microseconds(*rc::gen::inRange(0, 1000));
        const usage_key key { team_id(*rc::gen::element<std::string>("a", "b")), tier(*rc::gen::element<std::uint8_t>(0, 1)) };
        auto& source = sources[*rc::gen::inRange<std::size_t>(0, sources.size())];
        source.add(key.first, key.second, release);
        auto& total = expected[key];
        total.requests += 1;
        total.promptTokens += static_cast<std::uint64_t>(release.promptTokens.value);
        total.cachedTokens += static_cast<std::uint64_t>(release.cachedTokens.value);
        total.outputTokens += static_cast<std::uint64_t>(release.outputTokens.value);
        total.endpointMicroseconds
            += static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(release.total).count());
        records.push_back(source.encode(false));
    }
    const auto compacted = *rc::gen::arbitrary<bool>();
    if (compacted) {
        sources[0].merge(records.back());
        records.push_back(sources[0].encode(true));
    }
    const auto repeats = *rc::gen::inRange<std::size_t>(0, 10);
    for (std::size_t i = 0; i < repeats; ++i)
        records.push_back(*rc::gen::elementOf(records));
    // Fisher-Yates shuffle with generated positions, so that rapidcheck can shrink and reproduce a failing order.
    for (std::size_t i = records.size() - 1; i > 0; --i)
        std::swap(records[i], records[*rc::gen::inRange<std::size_t>(0, i + 1)]);
    usage_ledger reader({ node_id("reader"), incarnation(9) });
    for (const auto& record : records)
        reader.merge(record);
    RC_ASSERT(reader.total() == expected);
}

// Guards against a malformed record from another program that changes totals or terminates the daemon.
TEST(usage_ledger_test, malformed_record_throws_invalid_message)
{
    usage_ledger ledger({ node_id("n"), incarnation(1) });
    for (const auto* text : { "", "[]", "{}", R"({"processes":[{}]})", R"({"processes":[{"node":"a","incarnation":-1,"rows":[]}]})",
             R"({"processes":[{"node":"a","incarnation":1,"rows":[{"team":"t","tier":300,"requests":1}]}]})" })
        EXPECT_THROW(ledger.merge(text), error) << text;
    EXPECT_TRUE(ledger.total().empty());
}

} // namespace
} // namespace carawaylink
