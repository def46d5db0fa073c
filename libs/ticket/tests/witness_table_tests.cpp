#include "ticket_fixture.h"

#include "base/error.h"

namespace carawaylink {
namespace {

class witness : public ticket_fixture { };

// Guards against a lost acknowledgement making the repeated intent look like a second request.
TEST_F(witness, repeated_intent_is_accepted_again)
{
    const auto value = ticketOf(100, 1);
    EXPECT_EQ(record(value), intent_result::accepted);
    EXPECT_EQ(record(value), intent_result::accepted);
    EXPECT_EQ(m_witness.size(), 1U);
}

// Guards against a retry being sent to an engine that the home replaced before it dispatched.
TEST_F(witness, repeated_intent_with_another_endpoint_replaces_it)
{
    const auto value = ticketOf(100, 1);
    record(value);
    EXPECT_EQ(m_witness.recordIntent(value, request(1), endpoint_id("10.9.0.2:8000")), intent_result::accepted);
    EXPECT_EQ(m_witness.queryAndClose(value).endpoint, endpoint_id("10.9.0.2:8000"));
}

// Guards against two requests sharing one ticket.
TEST_F(witness, intent_of_another_request_is_a_conflict)
{
    const auto value = ticketOf(100, 1);
    record(value);
    EXPECT_EQ(m_witness.recordIntent(value, request(2), m_endpoint), intent_result::conflict);
    EXPECT_EQ(m_witness.queryAndClose(value).request, request(1));
}

// Section 6, "home paused between acknowledgement and dispatch": with an intent the answer is never "not run".
TEST_F(witness, query_after_intent_names_request_and_endpoint)
{
    const auto value = ticketOf(100, 1);
    record(value);
    for (int i = 0; i < 2; ++i) {
        const auto answer = m_witness.queryAndClose(value);
        EXPECT_EQ(answer.state, witness_state::intent);
        EXPECT_EQ(answer.request, request(1));
        EXPECT_EQ(answer.endpoint, m_endpoint);
    }
}

// Guards against a home that is only paused dispatching after its caller was told "not run".
TEST_F(witness, intent_after_close_is_refused)
{
    const auto value = ticketOf(100, 1);
    EXPECT_EQ(query(value), witness_state::closed);
    EXPECT_EQ(record(value), intent_result::closed);
    EXPECT_EQ(query(value), witness_state::closed) << "the answer stays the same";
}

// Section 6, "witness closed a ticket and no longer has its entry": the watermark refuses what the entry refused.
TEST_F(witness, intent_after_closed_entry_was_dropped_is_refused)
{
    const auto value = ticketOf(100, 1);
    EXPECT_EQ(query(value), witness_state::closed);
    for (std::uint64_t sequence = 2; sequence < 7; ++sequence)
        record(ticketOf(100, sequence));
    EXPECT_EQ(record(value), intent_result::forgotten);
    EXPECT_EQ(query(value), witness_state::unknown);
}

// Section 6, "witness table full": a dropped intent must not be answered "closed", for it may have run.
TEST_F(witness, query_after_intent_was_dropped_is_unknown)
{
    const auto value = ticketOf(100, 1);
    record(value);
    for (std::uint64_t sequence = 2; sequence < 7; ++sequence)
        record(ticketOf(100, sequence));
    EXPECT_EQ(query(value), witness_state::unknown);
    EXPECT_EQ(m_witness.size(), 4U);
}

// Guards against a watermark that makes the remembered entries below it unusable.
TEST_F(witness, entry_below_the_watermark_is_still_answered)
{
    record(ticketOf(100, 9));
    record(ticketOf(100, 3));
    for (std::uint64_t sequence = 10; sequence < 13; ++sequence)
        record(ticketOf(100, sequence));
    EXPECT_EQ(query(ticketOf(100, 3)), witness_state::intent);
    EXPECT_EQ(record(ticketOf(100, 4)), intent_result::forgotten) << "9 was dropped, and 4 has no entry";
    EXPECT_EQ(query(ticketOf(100, 9)), witness_state::unknown);
}

// Guards against the load of one home making the tickets of another unusable.
TEST_F(witness, watermark_is_per_home_incarnation)
{
    for (std::uint64_t sequence = 10; sequence < 20; ++sequence)
        record(ticketOf(100, sequence));
    EXPECT_EQ(record(ticketOf(100, 1)), intent_result::forgotten);
    EXPECT_EQ(record(ticketOf(101, 1)), intent_result::accepted);
}

// Section 6, "restart": a witness that restarted has lost its entries and must neither accept nor close.
TEST_F(witness, ticket_of_another_witness_is_foreign)
{
    for (const auto& other : { process_identity { m_witnessProcess.node, incarnation(6) },
             process_identity { node_id("10.2.0.2:7400"), m_witnessProcess.run }, process_identity {} }) {
        auto value = ticketOf(100, 1);
        value.witness = other;
        EXPECT_EQ(record(value), intent_result::foreign);
        EXPECT_EQ(query(value), witness_state::unknown);
    }
    EXPECT_EQ(m_witness.size(), 0U);
}

// Guards against the number of restarts of homes growing the table without bound.
TEST_F(witness, home_incarnations_are_bounded)
{
    for (std::uint64_t run = 1; run <= 50; ++run)
        record(ticketOf(run, 1));
    EXPECT_EQ(m_witness.homeCount(), 3U);
    EXPECT_EQ(m_witness.size(), 4U);
}

// Guards against a forgotten home's closed ticket being accepted, or its recorded intent being closed.
TEST_F(witness, tickets_of_a_forgotten_home_are_refused_and_unknown)
{
    EXPECT_EQ(query(ticketOf(1, 5)), witness_state::closed);
    EXPECT_EQ(record(ticketOf(2, 5)), intent_result::accepted);
    for (std::uint64_t run = 3; run <= 5; ++run)
        record(ticketOf(run, 1));
    EXPECT_EQ(record(ticketOf(1, 5)), intent_result::forgotten);
    EXPECT_EQ(query(ticketOf(2, 5)), witness_state::unknown);
    EXPECT_EQ(record(ticketOf(2, 4)), intent_result::forgotten) << "may have been closed as well";
}

// Guards against a live home that was forgotten for its silence staying refused for ever.
TEST_F(witness, later_tickets_of_a_forgotten_home_are_accepted)
{
    const auto other = [&](int number) {
        return ticket { { node_id("10.1.0." + std::to_string(number) + ":7400"), incarnation(1) }, m_witnessProcess, 1 };
    };
    record(ticketOf(100, 5));
    for (const int number : { 11, 12, 13 })
        record(other(number));
    EXPECT_EQ(record(ticketOf(100, 5)), intent_result::forgotten);
    EXPECT_EQ(record(ticketOf(100, 6)), intent_result::accepted);
    EXPECT_EQ(query(ticketOf(100, 7)), witness_state::closed);
}

// Guards against settings under which nothing could be witnessed.
TEST_F(witness, zero_capacity_is_refused)
{
    EXPECT_THROW(witness_table(m_witnessProcess, 0), error);
    EXPECT_THROW(witness_table(m_witnessProcess, 1, 0), error);
}

class home_and_witness : public ticket_fixture { };

// Section 6, main path: the intent of a closed ticket is refused, the home closes and both say "not run".
TEST_F(home_and_witness, ticket_closed_at_the_witness_does_not_run)
{
    const auto value = withIntent();
    EXPECT_EQ(query(value), witness_state::closed);
    EXPECT_NE(record(value), intent_result::accepted);
    EXPECT_TRUE(m_home.close(value));
    EXPECT_FALSE(m_home.beginDispatch(m_start, value, m_deadline));
}

// Section 6, no acknowledgement: the intent that arrived after all must not lead to a dispatch, nor to "not run" elsewhere.
TEST_F(home_and_witness, intent_without_acknowledgement_is_closed_by_the_home_only)
{
    const auto value = withIntent();
    EXPECT_EQ(record(value), intent_result::accepted);
    EXPECT_TRUE(m_home.close(value));
    EXPECT_EQ(query(value), witness_state::intent) << "the witness cannot know; the engine does not know the request: unknown";
    EXPECT_FALSE(m_home.beginDispatch(m_start, value, m_deadline));
}

// Section 6, "witness leaves in a planned drain": until its end the witness accepts, afterwards the home closes without it.
TEST_F(home_and_witness, ticket_is_valid_until_the_witness_ends)
{
    const auto during = withIntent();
    EXPECT_EQ(record(during), intent_result::accepted);
    EXPECT_TRUE(m_home.beginDispatch(m_start, during, m_deadline));
    const auto after = withIntent();
    EXPECT_TRUE(m_home.close(after)) << "nobody acknowledged";
    EXPECT_EQ(m_home.claimTicket(m_start, after, request(99)).result, claim_result::closed);
}

} // namespace
} // namespace carawaylink
