#include "dispatch_model.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <sstream>

namespace carawaylink::model {
namespace {

struct outcome {
    bool violated = false;
    std::string description;
    std::uint64_t schedules = 0;
    std::uint64_t dispatches = 0;
    std::uint64_t notRunReports = 0;
};

constexpr int maxSteps = 500;

/// Checks random schedules of up to maxSteps steps; the same seed gives the same schedules.
template <typename Protocol> outcome check(std::uint64_t seed, int schedules, bool shrink)
{
    const auto steps
        = rc::gen::map(rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>()), [](std::uint32_t bits) { return step { bits }; });
    const auto schedule = rc::gen::resize(maxSteps, rc::gen::container<std::vector<step>>(steps));
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = schedules;
    params.disableShrinking = !shrink;
    outcome total;
    const auto property = [&] {
        dispatch_model<Protocol> run;
        const auto chosen = *schedule;
        run.run(chosen);
        ++total.schedules;
        total.dispatches += run.dispatches();
        total.notRunReports += run.notRunReports();
        if (!run.violation().empty())
            RC_FAIL(run.violation());
    };
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata {}, params);
    total.violated = !result.template is<rc::detail::SuccessResult>();
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    total.description = text.str();
    return total;
}

/// A witness that evicts its oldest entry without raising a watermark.
class witness_without_watermark {
public:
    witness_without_watermark(process_identity self, std::size_t capacity, std::size_t)
        : m_self(std::move(self))
        , m_capacity(capacity)
    {
    }

    intent_result recordIntent(const ticket& value, const request_id& request, const endpoint_id&)
    {
        if (value.witness != m_self)
            return intent_result::foreign;
        return entry(value, request).closed ? intent_result::closed : intent_result::accepted;
    }

    witness_answer queryAndClose(const ticket& value)
    {
        if (value.witness != m_self)
            return {};
        return { entry(value, std::nullopt).closed ? witness_state::closed : witness_state::intent, {}, {} };
    }

private:
    struct item {
        ticket value;
        bool closed = false;
    };

    item& entry(const ticket& value, const std::optional<request_id>& request)
    {
        const auto found = std::ranges::find(m_items, value, &item::value);
        if (found != m_items.end())
            return *found;
        if (m_items.size() == m_capacity)
            m_items.pop_front();
        return m_items.emplace_back(item { value, !request });
    }

    process_identity m_self;
    std::size_t m_capacity;
    std::deque<item> m_items;
};

/// A witness that answers "closed" without recording it.
class witness_without_close : public witness_table {
public:
    using witness_table::witness_table;

    witness_answer queryAndClose(const ticket& value)
    {
        if (m_intents.contains(value))
            return { witness_state::intent, {}, {} };
        return { witness_state::closed, {}, {} };
    }

    intent_result recordIntent(const ticket& value, const request_id& request, const endpoint_id& endpoint)
    {
        const auto result = witness_table::recordIntent(value, request, endpoint);
        if (result == intent_result::accepted)
            m_intents.insert(value);
        return result;
    }

private:
    std::set<ticket> m_intents;
};

/// A witness that evicts home incarnations without keeping their watermark.
class witness_without_evicted_watermarks {
public:
    witness_without_evicted_watermarks(const process_identity& self, std::size_t capacity, std::size_t maxHomes)
        : m_self(self)
        , m_capacity(capacity)
        , m_maxHomes(maxHomes)
    {
    }

    intent_result recordIntent(const ticket& value, const request_id& request, const endpoint_id& endpoint)
    {
        return table(value).recordIntent(value, request, endpoint);
    }
    witness_answer queryAndClose(const ticket& value) { return table(value).queryAndClose(value); }

private:
    witness_table& table(const ticket& value)
    {
        const auto found = m_tables.find(value.home);
        if (found != m_tables.end())
            return found->second;
        if (m_tables.size() == m_maxHomes)
            m_tables.erase(m_tables.begin());
        return m_tables.try_emplace(value.home, m_self, m_capacity, 1).first->second;
    }

    process_identity m_self;
    std::size_t m_capacity;
    std::size_t m_maxHomes;
    std::map<process_identity, witness_table> m_tables;
};

/// A home that treats evicted tickets as unused.
class home_that_grants_evicted_tickets {
public:
    home_that_grants_evicted_tickets(const process_identity& self, std::size_t capacity, duration lifetime)
        : m_table(self, capacity, lifetime)
    {
    }

    auto issue(monotonic_time now, const process_identity& witness) { return m_table.issue(now, witness); }
    claim claimTicket(monotonic_time now, const ticket& value, const request_id& request)
    {
        const auto result = m_table.claimTicket(now, value, request);
        if (result.result != claim_result::unknown)
            return result;
        m_grantedAgain.insert(value);
        return { claim_result::granted, request };
    }
    void markIntentSent(const ticket& value) { m_table.markIntentSent(value); }
    bool beginDispatch(monotonic_time now, const ticket& value, monotonic_time deadline)
    {
        return m_grantedAgain.erase(value) > 0 || m_table.beginDispatch(now, value, deadline);
    }
    bool close(const ticket& value) { return m_table.close(value); }
    void markAnswered(const ticket& value) { m_table.markAnswered(value); }

private:
    home_table m_table;
    std::set<ticket> m_grantedAgain;
};

struct dispatch_without_acknowledgement : correct_protocol {
    static constexpr bool waitsForAcknowledgement = false;
};
struct restart_with_old_incarnation : correct_protocol {
    static constexpr bool restartChangesIncarnation = false;
};
struct no_watermark : correct_protocol {
    using witness_type = witness_without_watermark;
};
struct no_close : correct_protocol {
    using witness_type = witness_without_close;
};
struct no_evicted_watermarks : correct_protocol {
    using witness_type = witness_without_evicted_watermarks;
};
struct grants_evicted : correct_protocol {
    using home_type = home_that_grants_evicted_tickets;
};

class dispatch_schedules : public testing::TestWithParam<std::uint64_t> { };

// Guards against a second dispatch and against reporting "not run" for a request that was dispatched, under any order of messages,
// losses, pauses, restarts and table overflows.
TEST_P(dispatch_schedules, correct_protocol_keeps_the_invariants)
{
    const auto result = check<correct_protocol>(GetParam(), 20'000, true);
    EXPECT_FALSE(result.violated) << result.description;
    EXPECT_EQ(result.schedules, 20'000U);
    // A model in which nothing happens would also pass the check above.
    EXPECT_GT(result.dispatches, result.schedules / 2);
    EXPECT_GT(result.notRunReports, result.schedules / 2);
    RecordProperty("dispatches", std::to_string(result.dispatches));
    RecordProperty("told_not_run", std::to_string(result.notRunReports));
}

INSTANTIATE_TEST_SUITE_P(seeds, dispatch_schedules, testing::Values(1, 2, 3, 4));

template <typename Protocol> class broken_protocol : public testing::Test {
};
using broken_protocols = testing::Types<no_watermark, no_close, no_evicted_watermarks, dispatch_without_acknowledgement, grants_evicted,
    restart_with_old_incarnation>;
TYPED_TEST_SUITE(broken_protocol, broken_protocols);

// Guards against a checker that misses faults: each variant omits one safeguard, and a violation must be found.
TYPED_TEST(broken_protocol, missing_safeguard_is_detected)
{
    const auto result = check<TypeParam>(1, 20'000, false);
    EXPECT_TRUE(result.violated) << "no violation in " << result.schedules << " schedules";
    this->RecordProperty("schedules", std::to_string(result.schedules));
}

} // namespace
} // namespace carawaylink::model
