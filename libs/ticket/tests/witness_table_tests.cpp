#include "ticket_fixture.h"

#include "base/error.h"

namespace carawaylink {
namespace {

class witness : public ticket_fixture { };

// Guards against treating an intent repeated after a lost acknowledgement as a second request.
TEST_F(witness, repeated_intent_is_accepted_again)
{
    const auto value = ticketOf(100, 1);
    EXPECT_EQ(record(value), intent_result::accepted);
    EXPECT_EQ(record(value), intent_result::accepted);
    EXPECT_EQ(m_witness.size(), 1U);
}

// Guards against returning an endpoint that the home replaced before it dispatched.
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

// Guards against answering "not run" after an intent was recorded: a paused home may still dispatch.
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

// Guards against a home that was only paused and dispatches after the caller was told "not run".
TEST_F(witness, intent_after_close_is_refused)
{
    const auto value = ticketOf(100, 1);
    EXPECT_EQ(query(value), witness_state::closed);
    EXPECT_EQ(record(value), intent_result::closed);
    EXPECT_EQ(query(value), witness_state::closed) << "the answer stays the same";
}

// Guards against accepting the intent of a closed ticket after its entry was evicted; the watermark must refuse it.
TEST_F(witness, intent_after_closed_entry_was_dropped_is_refused)
{
    const auto value = ticketOf(100, 1);
    EXPECT_EQ(query(value), witness_state::closed);
    for (std::uint64_t sequence = 2; sequence < 7; ++sequence)
        record(ticketOf(100, sequence));
    EXPECT_EQ(record(value), intent_result::forgotten);
    EXPECT_EQ(query(value), witness_state::unknown);
}

// Guards against answering "closed" after the intent was evicted from a full table, because the request may have been executed.
TEST_F(witness, query_after_intent_was_dropped_is_unknown)
{
    const auto value = ticketOf(100, 1);
    record(value);
    for (std::uint64_t sequence = 2; sequence < 7; ++sequence)
        record(ticketOf(100, sequence));
    EXPECT_EQ(query(value), witness_state::unknown);
    EXPECT_EQ(m_witness.size(), 4U);
}

// Guards against a watermark that hides the stored entries below it.
TEST_F(witness, entry_below_the_watermark_is_still_answered)
{
    record(ticketOf(100, 9));
    record(ticketOf(100, 3));
    for (std::uint64_t sequence = 10; sequence < 13; ++sequence)
        record(ticketOf(100, sequence));
    EXPECT_EQ(query(ticketOf(100, 3)), witness_state::intent);
    EXPECT_EQ(record(ticketOf(100, 4)), intent_result::forgotten) << "9 was evicted, and 4 has no entry";
    EXPECT_EQ(query(ticketOf(100, 9)), witness_state::unknown);
}

// Guards against a watermark shared by homes, by which the load of one home would refuse the tickets of another.
TEST_F(witness, watermark_is_per_home_incarnation)
{
    for (std::uint64_t sequence = 10; sequence < 20; ++sequence)
        record(ticketOf(100, sequence));
    EXPECT_EQ(record(ticketOf(100, 1)), intent_result::forgotten);
    EXPECT_EQ(record(ticketOf(101, 1)), intent_result::accepted);
}

// Guards against a restarted witness, which has lost its entries, accepting or closing tickets of its earlier incarnation.
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

// Guards against a table that grows with each restart of a home.
TEST_F(witness, home_incarnations_are_bounded)
{
    for (std::uint64_t run = 1; run <= 50; ++run)
        record(ticketOf(run, 1));
    EXPECT_EQ(m_witness.homeCount(), 3U);
    EXPECT_EQ(m_witness.size(), 4U);
}

// Guards against accepting a closed ticket, or closing a recorded intent, of an evicted home.
TEST_F(witness, tickets_of_an_evicted_home_are_refused_and_unknown)
{
    EXPECT_EQ(query(ticketOf(1, 5)), witness_state::closed);
    EXPECT_EQ(record(ticketOf(2, 5)), intent_result::accepted);
    for (std::uint64_t run = 3; run <= 5; ++run)
        record(ticketOf(run, 1));
    EXPECT_EQ(record(ticketOf(1, 5)), intent_result::forgotten);
    EXPECT_EQ(query(ticketOf(2, 5)), witness_state::unknown);
    EXPECT_EQ(record(ticketOf(2, 4)), intent_result::forgotten) << "may have been closed as well";
}

// Guards against refusing a live home permanently after it was evicted as the least recently used.
TEST_F(witness, later_tickets_of_an_evicted_home_are_accepted)
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

// Guards against settings with which no intent could be recorded.
TEST_F(witness, zero_capacity_is_refused)
{
    EXPECT_THROW(witness_table(m_witnessProcess, 0), error);
    EXPECT_THROW(witness_table(m_witnessProcess, 1, 0), error);
}

class home_and_witness : public ticket_fixture { };

// Guards against dispatching a ticket that the witness closed: its intent is refused, and home and witness both answer "not run".
TEST_F(home_and_witness, ticket_closed_at_the_witness_does_not_run)
{
    const auto value = withIntent();
    EXPECT_EQ(query(value), witness_state::closed);
    EXPECT_NE(record(value), intent_result::accepted);
    EXPECT_TRUE(m_home.close(value));
    EXPECT_FALSE(m_home.beginDispatch(m_start, value, m_deadline));
}

// Guards against a dispatch, or a "not run" from the witness, when the intent arrived but its acknowledgement was lost.
TEST_F(home_and_witness, intent_without_acknowledgement_is_closed_by_the_home_only)
{
    const auto value = withIntent();
    EXPECT_EQ(record(value), intent_result::accepted);
    EXPECT_TRUE(m_home.close(value));
    EXPECT_EQ(query(value), witness_state::intent)
        << "the witness does not know that the home closed the ticket, nor the engine the request: the outcome is unknown";
    EXPECT_FALSE(m_home.beginDispatch(m_start, value, m_deadline));
}

// Guards against tickets that become invalid while their witness drains: it accepts intents until it ends; then the home closes them
// without it.
TEST_F(home_and_witness, ticket_is_valid_until_the_witness_ends)
{
    const auto during = withIntent();
    EXPECT_EQ(record(during), intent_result::accepted);
    EXPECT_TRUE(m_home.beginDispatch(m_start, during, m_deadline));
    const auto after = withIntent();
    EXPECT_TRUE(m_home.close(after)) << "the witness did not acknowledge";
    EXPECT_EQ(m_home.claimTicket(m_start, after, request(99)).result, claim_result::closed);
}

} // namespace
} // namespace carawaylink
