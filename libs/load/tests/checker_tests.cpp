#include "load/checker.h"

#include <gtest/gtest.h>
#include <string>

namespace carawaylink::load {
namespace {

/// Two nodes, one engine, one service; calls a (model), b (order with ticket), c (refused "not run").
const std::string cleanHistory
    = R"({"source":"node","node":"127.0.0.1:7000","incarnation":"1","t_us":100,"event":"started","address":"127.0.0.1:8000"}
{"source":"node","node":"127.0.0.2:7000","incarnation":"1","t_us":110,"event":"started","address":"127.0.0.2:8000"}
{"source":"node","node":"127.0.0.1:7000","t_us":200,"event":"config_in_force","version":1,"digest":"d1"}
{"source":"node","node":"127.0.0.2:7000","t_us":300,"event":"config_in_force","version":1,"digest":"d1"}
{"source":"caller","event":"sent","t_us":1000,"call":"a","attempt":1,"tier":2,"service":"rota-llm","address":"127.0.0.1:8000","deadline_ms":8000,"idempotent":true}
{"source":"node","node":"127.0.0.1:7000","t_us":1100,"event":"queued","request":"qa","service":"rota-llm","tier":2,"team":"t","deadline_in_ms":8000,"non_idempotent":false}
{"source":"node","node":"127.0.0.1:7000","t_us":1200,"event":"granted","request":"qa","endpoint":"e1","tier":2}
{"source":"node","node":"127.0.0.1:7000","t_us":1300,"event":"dispatched","request":"qa","endpoint":"e1"}
{"source":"engine","endpoint":"e1","t_us":1400,"event":"received","request":"qa","user":"a"}
{"source":"engine","endpoint":"e1","t_us":1500,"event":"started","request":"qa","user":"a","prompt_tokens":100,"cached_tokens":0}
{"source":"engine","endpoint":"e1","t_us":900000,"event":"finished","request":"qa","user":"a","output_tokens":3}
{"source":"caller","event":"answered","t_us":900100,"call":"a","attempt":1,"tier":2,"service":"rota-llm","address":"127.0.0.1:8000","status":200,"whole":true,"own":true,"ordered":true,"tokens":3,"expected_tokens":3,"request":"qa","latency_us":899100}
{"source":"node","node":"127.0.0.1:7000","t_us":900200,"event":"released","request":"qa","outcome":"complete"}
{"source":"caller","event":"sent","t_us":2000,"call":"b","attempt":1,"tier":0,"service":"rota-app","address":"127.0.0.2:8000","ticket":"0badcafe","idempotent":false}
{"source":"service","endpoint":"s1","t_us":2100,"event":"executed","call":"b"}
{"source":"caller","event":"broken","t_us":2200,"call":"b","attempt":1,"tier":0,"service":"rota-app","address":"127.0.0.2:8000","ticket":"0badcafe","idempotent":false,"reason":"broken","ran":"unknown"}
{"source":"caller","event":"sent","t_us":2300,"call":"b","attempt":2,"tier":0,"service":"rota-app","address":"127.0.0.1:8000","ticket":"0badcafe","idempotent":false}
{"source":"caller","event":"answered","t_us":2400,"call":"b","attempt":2,"tier":0,"service":"rota-app","address":"127.0.0.1:8000","status":200,"whole":true,"idempotent":false,"tokens":0,"expected_tokens":0}
{"source":"caller","event":"sent","t_us":950000,"call":"c","attempt":1,"tier":0,"service":"rota-llm","address":"127.0.0.1:8000","idempotent":true}
{"source":"node","node":"127.0.0.1:7000","t_us":950100,"event":"refused","request":"qc","service":"rota-llm","tier":0,"reason":"queue_full","best_case_ms":50,"deadline_in_ms":8000}
{"source":"caller","event":"refused","t_us":950200,"call":"c","attempt":1,"tier":0,"service":"rota-llm","address":"127.0.0.1:8000","status":503,"reason":"queue_full","ran":"no","request":"qc"}
{"source":"engine","endpoint":"e1","t_us":960000,"event":"leaving"}
{"source":"node","node":"127.0.0.2:7000","t_us":970000,"event":"drain_begin"}
{"source":"node","node":"127.0.0.2:7000","t_us":980000,"event":"drain_end"}
{"source":"log","event":"appended","stream":"config","offset":1,"id":"x","t_us":40000000}
)";

class promise_checks : public testing::Test {
protected:
    static std::array<promise_result, 8> check(const std::string& added)
    {
        const auto merged = history::parse({ cleanHistory, added });
        return checkPromises(merged, {});
    }

    /// The doctored lines must break that promise and no other one.
    static promise_result breachOf(int promise, const std::string& added)
    {
        const auto results = check(added);
        for (const auto& result : results)
            EXPECT_EQ(result.kept(), result.number != promise) << promiseText(result);
        return results[static_cast<std::size_t>(promise - 1)];
    }
};

// Guards against a checker that reports breaches in a correct run, or that decides nothing.
TEST_F(promise_checks, clean_history_keeps_every_promise)
{
    for (const auto& result : check("")) {
        EXPECT_TRUE(result.kept()) << promiseText(result);
        if (result.number != 6 && result.number != 7) {
            EXPECT_GT(result.checked, 0) << promiseText(result);
        }
    }
}

// Guards against a second dispatch under another request id going unnoticed.
TEST_F(promise_checks, call_received_twice_breaks_p1)
{
    const auto result = breachOf(1, R"({"source":"engine","endpoint":"e2","t_us":5000,"event":"received","request":"other","user":"a"}
)");
    EXPECT_EQ(result.trace.size(), 4U) << promiseText(result);
}

// Guards against a false breach where an engine refused the request before it ran, and against a refusal that hides a receipt
// by another endpoint.
TEST_F(promise_checks, receipt_refused_by_the_same_engine_is_not_a_dispatch)
{
    const std::string received = R"({"source":"engine","endpoint":"e2","t_us":1350,"event":"received","request":"qa","user":"a"}
)";
    EXPECT_TRUE(check(received + R"({"source":"engine","endpoint":"e2","t_us":1351,"event":"refused","request":"qa","user":"a"}
)")[0]
                    .kept());
    breachOf(1, received + R"({"source":"engine","endpoint":"e3","t_us":1351,"event":"refused","request":"qa","user":"a"}
)");
}

// Guards against shedding urgent work beside displaceable work; a refusal near the edge of the lower stay is tolerated.
TEST_F(promise_checks, shed_beside_lower_tier_work_breaks_p2)
{
    const std::string refusal
        = R"(,"event":"refused","request":"qz","service":"rota-llm","tier":1,"reason":"displaced","best_case_ms":50,"deadline_in_ms":60}
)";
    const std::string node = R"({"source":"node","node":"127.0.0.1:7000","t_us":)";
    const auto result = breachOf(2, node + "500000" + refusal);
    EXPECT_EQ(result.trace.size(), 4U) << promiseText(result);
    EXPECT_TRUE(check(node + "50000" + refusal)[1].kept());
    EXPECT_TRUE(check(node + "850000" + refusal)[1].kept());
}

// Guards against a request that starved in the queue behind lower-tier work being counted as one that never fitted.
TEST_F(promise_checks, deadline_passed_while_lower_tier_runs_breaks_p2)
{
    breachOf(2,
        R"({"source":"node","node":"127.0.0.1:7000","t_us":2000,"event":"queued","request":"qz","service":"rota-llm","tier":0,"deadline_in_ms":400}
{"source":"node","node":"127.0.0.1:7000","t_us":402000,"event":"refused","request":"qz","service":"rota-llm","tier":0,"reason":"deadline_passed","best_case_ms":50,"deadline_in_ms":0}
)");
}

// Guards against a slot that a starved request needed being given to lower-tier work, and against lower work that only waited
// being taken for work that was served.
TEST_F(promise_checks, lower_tier_granted_in_time_of_the_refused_request_breaks_p2)
{
    const std::string node = R"({"source":"node","node":"127.0.0.1:7000",)";
    const auto lines = [&](const std::string& endOfLower) {
        return node + R"("t_us":2000,"event":"queued","request":"low","service":"other","tier":3,"deadline_in_ms":9000}
)" + node + R"("t_us":2000,"event":"queued","request":"qz","service":"other","tier":0,"deadline_in_ms":900}
)" + endOfLower
            + node
            + R"("t_us":902000,"event":"refused","request":"qz","service":"other","tier":0,"reason":"deadline_passed","best_case_ms":50,"deadline_in_ms":0}
)" + node + R"("t_us":1902000,"event":"released","request":"low","outcome":"completed"}
)";
    };
    breachOf(2, lines(node + R"("t_us":840000,"event":"granted","request":"low","endpoint":"e9","tier":3}
)"));
    EXPECT_TRUE(check(lines(""))[1].kept());
    EXPECT_TRUE(check(lines(node + R"("t_us":860000,"event":"granted","request":"low","endpoint":"e9","tier":3}
)"))[1]
                    .kept());
}

// Guards against refusals that concern limits, or requests that fit no endpoint, being taken for inversions.
TEST_F(promise_checks, refusal_for_other_reasons_keeps_p2)
{
    EXPECT_TRUE(check(
        R"({"source":"node","node":"127.0.0.1:7000","t_us":500000,"event":"refused","request":"qz","service":"rota-llm","tier":0,"reason":"team_rate_limit","best_case_ms":50,"deadline_in_ms":60}
{"source":"node","node":"127.0.0.1:7000","t_us":500000,"event":"refused","request":"qy","service":"rota-llm","tier":0,"reason":"queue_full","best_case_ms":70,"deadline_in_ms":60}
{"source":"node","node":"127.0.0.1:7000","t_us":500000,"event":"refused","request":"qx","service":"other","tier":0,"reason":"queue_full","best_case_ms":50,"deadline_in_ms":60}
{"source":"node","node":"127.0.0.1:7000","t_us":500000,"event":"refused","request":"qw","service":"rota-llm","tier":2,"reason":"queue_full","best_case_ms":50,"deadline_in_ms":60}
)")[1]
                    .kept());
}

// Guards against partial, mixed or reordered answers that look complete to the caller.
TEST_F(promise_checks, wrong_answer_breaks_p3)
{
    const std::string sent = R"({"source":"caller","event":"sent","t_us":3000,"call":"d","attempt":1}
)";
    const std::string answer = sent + R"({"source":"caller","event":"answered","t_us":3100,"call":"d","attempt":1,"expected_tokens":3,)";
    breachOf(3, answer + "\"tokens\":2,\"whole\":false}\n");
    breachOf(3, answer + "\"tokens\":2,\"whole\":true}\n");
    breachOf(3, answer + "\"tokens\":3,\"whole\":true,\"own\":false}\n");
    breachOf(3, answer + "\"tokens\":3,\"whole\":true,\"ordered\":false}\n");
    breachOf(3, sent + R"({"source":"caller","event":"broken","t_us":3100,"call":"d","attempt":1,"tokens":1,"own":false}
)");
}

// Guards against "not run" for a call that an endpoint had, before the answer or after it.
TEST_F(promise_checks, not_run_call_that_arrived_breaks_p4)
{
    const auto result = breachOf(4, R"({"source":"engine","endpoint":"e1","t_us":955000,"event":"received","request":"qc","user":"c"}
)");
    EXPECT_EQ(result.trace.size(), 3U) << promiseText(result);
    breachOf(4, R"({"source":"service","endpoint":"s1","t_us":10,"event":"executed","call":"c"}
)");
}

// Guards against a false breach where the first attempt of a repeatable lookup ran and only the second was refused.
TEST_F(promise_checks, refused_repetition_of_a_lookup_keeps_p4)
{
    EXPECT_TRUE(check(R"({"source":"caller","event":"sent","t_us":3000,"call":"d","attempt":1,"idempotent":true}
{"source":"service","endpoint":"s1","t_us":3050,"event":"executed","call":"d"}
{"source":"caller","event":"broken","t_us":3100,"call":"d","attempt":1,"idempotent":true,"ran":"unknown"}
{"source":"caller","event":"refused","t_us":3200,"call":"d","attempt":2,"idempotent":true,"ran":"no"}
)")[3]
                    .kept());
}

// Guards against an order or confirmation that ran twice.
TEST_F(promise_checks, second_execution_breaks_p5)
{
    const auto result = breachOf(5, R"({"source":"service","endpoint":"s2","t_us":2350,"event":"executed","call":"b"}
)");
    EXPECT_EQ(result.trace.size(), 4U) << promiseText(result);
}

// Guards against work that still reaches a leaving endpoint, whether that takes it or refuses it.
TEST_F(promise_checks, late_work_at_leaving_endpoint_breaks_p6)
{
    const std::string engine = R"({"source":"engine","endpoint":"e1","request":"qd","user":"d","t_us":)";
    EXPECT_EQ(breachOf(6, engine + "2970000,\"event\":\"received\"}\n").trace.size(), 2U);
    breachOf(6, engine + "2970000,\"event\":\"refused\"}\n");
    EXPECT_TRUE(check(engine + "2950000,\"event\":\"received\"}\n")[5].kept());
}

// Guards against a planned stop that cuts streams; breaks by a kill, before the drain or at other nodes are no breach of P7.
TEST_F(promise_checks, broken_attempt_during_drain_breaks_p7)
{
    const auto attempt = [](const std::string& address, int sent, int broken) {
        return R"({"source":"caller","event":"sent","call":"d","attempt":1,"address":")" + address + R"(:8000","t_us":)"
            + std::to_string(sent) + "}\n" + R"({"source":"caller","event":"broken","ran":"unknown","call":"d","attempt":1,"address":")"
            + address + R"(:8000","t_us":)" + std::to_string(broken) + "}\n";
    };
    EXPECT_EQ(breachOf(7, attempt("127.0.0.2", 960000, 975000)).trace.size(), 3U);
    breachOf(7, attempt("127.0.0.2", 960000, 980500));
    EXPECT_TRUE(check(attempt("127.0.0.2", 960000, 965000))[6].kept());
    EXPECT_TRUE(check(attempt("127.0.0.1", 960000, 975000))[6].kept());
    const std::string kill = R"({"source":"fault","event":"kill","node":"127.0.0.2:7000","t_us":974000}
)";
    EXPECT_TRUE(check(attempt("127.0.0.2", 960000, 975000) + kill)[6].kept());
}

// Guards against a configuration that reverts, differs between nodes or does not arrive.
TEST_F(promise_checks, wrong_configuration_breaks_p8)
{
    const auto inForce = [](const std::string& node, std::int64_t time, int version, const std::string& digest) {
        return R"({"source":"node","event":"config_in_force","node":"127.0.0.)" + node + R"(:7000","t_us":)" + std::to_string(time)
            + ",\"version\":" + std::to_string(version) + ",\"digest\":\"" + digest + "\"}\n";
    };
    const std::string third = R"({"source":"node","event":"started","node":"127.0.0.3:7000","t_us":1000000}
)" + inForce("3", 1000100, 1, "d1");
    const std::string restarted = R"({"source":"node","event":"started","node":"127.0.0.1:7000","incarnation":"2","t_us":2500000}
)";
    EXPECT_EQ(breachOf(8, inForce("1", 2000000, 2, "d2") + restarted + inForce("1", 3000000, 1, "d1")).trace.size(), 2U);
    breachOf(8, third + inForce("1", 2000000, 2, "d2") + inForce("3", 2000000, 2, "other"));
    breachOf(8, third + inForce("1", 2000000, 2, "d2"));
    breachOf(8, third + inForce("1", 2000000, 2, "d2") + inForce("3", 17000000, 2, "d2"));
    EXPECT_TRUE(check(third + inForce("1", 2000000, 2, "d2") + inForce("3", 15900000, 2, "d2"))[7].kept());
    const std::string kill = R"({"source":"fault","event":"kill","node":"127.0.0.3:7000","t_us":2500000}
)";
    EXPECT_TRUE(check(third + inForce("1", 2000000, 2, "d2") + kill)[7].kept());
}

} // namespace
} // namespace carawaylink::load
