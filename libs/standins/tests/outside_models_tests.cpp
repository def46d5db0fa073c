#include "base/error.h"
#include "standins/log_model.h"
#include "standins/service_model.h"
#include "standins/vm_list_model.h"

#include <gtest/gtest.h>

namespace carawaylink {
namespace {

using namespace std::chrono_literals;

const monotonic_time start {};

class fault_switches : public testing::Test { };

// Guards against a mistyped switch that is taken for a fault that is on.
TEST_F(fault_switches, wrong_changes_are_refused_as_a_whole)
{
    fault_set faults(serviceFaults);
    for (const auto* text : { R"({"delay_ms":5,"unknown":1})", R"({"delay_ms":5,"fail_share":1.5})", R"({"delay_ms":5,"pause":1})",
             R"({"delay_ms":"5"})", "[]", "{" })
        EXPECT_THROW(faults.apply(text), error) << text;
    EXPECT_EQ(faults.number(service_fault::delay_ms), 1);
    faults.apply(R"({"delay_ms":5,"pause":true})");
    EXPECT_EQ(faults.number(service_fault::delay_ms), 5);
    EXPECT_TRUE(faults.on(service_fault::pause));
}

class plain_service : public testing::Test { };

// Guards against a lost answer that also loses the effect: the caller could then retry without harm.
TEST_F(plain_service, lost_answer_follows_the_execution)
{
    service_model service(1);
    service.faults().apply(R"({"lose_answer_share":1})");
    const auto outcome = service.handle(true);
    EXPECT_EQ(outcome.result, service_outcome::kind::answer_lost);
    EXPECT_EQ(service.executions(), 1U);
}

// Guards against executions that are not counted per received call, or counted for lookups and refusals.
TEST_F(plain_service, only_accepted_calls_execute)
{
    service_model service(1);
    EXPECT_EQ(service.handle(true).execution, 1U);
    EXPECT_EQ(service.handle(true).execution, 2U);
    EXPECT_EQ(service.handle(false).execution, 0U);
    service.faults().apply(R"({"fail_share":1})");
    EXPECT_EQ(service.handle(true).result, service_outcome::kind::failed);
    service.faults().apply(R"({"leaving":true})");
    EXPECT_EQ(service.handle(true).result, service_outcome::kind::leaving);
    EXPECT_EQ(service.executions(), 2U);
}

class platform_log : public testing::Test {
protected:
    static log_options smallLog()
    {
        log_options options;
        options.retentionRecords = 3;
        options.retention = 10s;
        options.appendsPerSecond = 100;
        return options;
    }

    static std::vector<std::string> data(const log_model::page& page)
    {
        std::vector<std::string> result;
        for (const auto& record : page.records)
            result.push_back(record.data);
        return result;
    }
};

// Guards against deduplication in the log: the configuration has to find a repeated append by its id.
TEST_F(platform_log, same_append_id_makes_two_records)
{
    log_model log(smallLog());
    EXPECT_EQ(log.append(start, "config", "id", "x").offset, log_offset(0));
    EXPECT_EQ(log.append(start, "config", "id", "x").offset, log_offset(1));
    EXPECT_EQ(log.append(start, "usage", "id", "y").offset, log_offset(0));
    EXPECT_EQ(data(log.read(start, "config", log_offset(0))), (std::vector<std::string> { "x", "x" }));
}

// Guards against a reader that misses records because the log starts it at the oldest one without saying so.
TEST_F(platform_log, offset_older_than_retention_is_gone)
{
    log_model log(smallLog());
    for (const auto* text : { "a", "b", "c", "d" })
        log.append(start, "s", "", text);
    const auto gone = log.read(start, "s", log_offset(0));
    EXPECT_TRUE(gone.gone);
    EXPECT_EQ(gone.first, log_offset(1));
    EXPECT_EQ(gone.next, log_offset(4));
    EXPECT_EQ(data(log.read(start, "s", log_offset(1))), (std::vector<std::string> { "b", "c", "d" }));
    EXPECT_TRUE(log.read(start + 11s, "s", log_offset(3)).gone);
    EXPECT_FALSE(log.read(start + 11s, "s", log_offset(4)).gone);
    EXPECT_EQ(log.append(start + 11s, "s", "", "e").offset, log_offset(4));
}

// Guards against truncation that renumbers the records it leaves.
TEST_F(platform_log, truncation_keeps_offsets)
{
    log_model log(smallLog());
    log.append(start, "s", "", "a");
    log.append(start, "s", "", "b");
    log.applyFaults(R"({"truncate_before":1})");
    EXPECT_TRUE(log.read(start, "s", log_offset(0)).gone);
    EXPECT_EQ(data(log.read(start, "s", log_offset(1))), (std::vector<std::string> { "b" }));
}

// Guards against a log faster than the platform's.
TEST_F(platform_log, appends_above_the_rate_are_refused)
{
    log_model log(smallLog());
    int stored = 0;
    for (int i = 0; i < 2000; ++i) {
        const auto result = log.append(start + i * 1ms, "s", "", "x");
        if (result.result == log_model::append_result::kind::stored)
            ++stored;
        else
            EXPECT_LE(result.retryAfter, 10ms);
    }
    EXPECT_GE(stored, 200);
    EXPECT_LE(stored, 215);
}

// Guards against a lost answer that also loses the record.
TEST_F(platform_log, record_with_lost_answer_is_stored)
{
    log_model log(smallLog());
    log.applyFaults(R"({"lose_answer_share":1})");
    EXPECT_EQ(log.append(start, "s", "id", "x").result, log_model::append_result::kind::answer_lost);
    EXPECT_EQ(data(log.read(start, "s", log_offset(0))), (std::vector<std::string> { "x" }));
}

// Guards against a weight store without a limit.
TEST_F(platform_log, weight_store_limits_loads_at_a_time)
{
    weight_store_model weights(2, 1s);
    EXPECT_EQ(weights.begin(start), start + 1s);
    EXPECT_TRUE(weights.begin(start + 500ms).has_value());
    EXPECT_FALSE(weights.begin(start + 999ms).has_value());
    EXPECT_TRUE(weights.begin(start + 1s).has_value());
}

class vm_list : public testing::Test {
protected:
    static vm_entry endpoint(const std::string& address, const std::string& state) { return { address, "endpoint", "svc", state, "fd" }; }
};

// Guards against a list without the lag that the 2 s limit on new work for leaving endpoints has to allow for.
TEST_F(vm_list, answers_lag)
{
    vm_list_model list(1, start);
    list.applyFaults(start, R"({"lag_ms":1000})");
    list.put(start, endpoint("a", "live"));
    list.put(start + 2s, endpoint("a", "leaving"));
    EXPECT_EQ(list.list(start + 2900ms).at(0).state, "live");
    EXPECT_EQ(list.list(start + 3s).at(0).state, "leaving");
    EXPECT_TRUE(list.remove(start + 4s, "a"));
    EXPECT_FALSE(list.remove(start + 4s, "a"));
    EXPECT_EQ(list.list(start + 4900ms).size(), 1U);
    EXPECT_TRUE(list.list(start + 5s).empty());
}

// Guards against a stale switch that lets changes through.
TEST_F(vm_list, stale_list_does_not_change)
{
    vm_list_model list(1, start);
    list.put(start, endpoint("a", "live"));
    list.applyFaults(start + 1s, R"({"stale":true})");
    list.put(start + 2s, endpoint("b", "live"));
    EXPECT_EQ(list.list(start + 1h).size(), 1U);
    list.applyFaults(start + 3s, R"({"stale":false})");
    EXPECT_EQ(list.list(start + 3s).size(), 2U);
}

// Guards against answers that are always complete.
TEST_F(vm_list, share_of_entries_is_omitted)
{
    vm_list_model list(1, start);
    for (int i = 0; i < 200; ++i)
        list.put(start, endpoint(std::to_string(i), "live"));
    list.applyFaults(start, R"({"omit_share":0.5})");
    const auto size = list.list(start).size();
    EXPECT_GT(size, 60U);
    EXPECT_LT(size, 140U);
}

} // namespace
} // namespace carawaylink
