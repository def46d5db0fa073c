#include "ticket_fixture.h"

#include "base/error.h"

namespace carawaylink {
namespace {

class home : public ticket_fixture { };

// Guards against a caller's retry being dispatched beside the first request.
TEST_F(home, second_claim_attaches_to_the_first)
{
    const auto value = claimed();
    const auto second = m_home.claimTicket(m_start, value, request(99));
    EXPECT_EQ(second.result, claim_result::attach);
    EXPECT_EQ(second.holder, request(value.sequence));
}

// Guards against a retry after the answer executing the request again.
TEST_F(home, claim_after_answer_attaches)
{
    const auto value = dispatched();
    m_home.markAnswered(value);
    EXPECT_EQ(m_home.state(value), ticket_state::answered);
    EXPECT_EQ(m_home.claimTicket(m_start, value, request(99)).result, claim_result::attach);
}

// Guards against two dispatches when the acknowledgement of the witness arrives twice.
TEST_F(home, second_dispatch_is_refused)
{
    const auto value = dispatched();
    EXPECT_FALSE(m_home.beginDispatch(m_start, value, m_deadline));
    EXPECT_EQ(m_home.state(value), ticket_state::dispatched);
    m_home.markAnswered(value);
    EXPECT_FALSE(m_home.beginDispatch(m_start, value, m_deadline));
}

// Guards against a late dispatch by a home that was paused past the deadline between acknowledgement and dispatch.
TEST_F(home, dispatch_past_the_deadline_closes_the_ticket)
{
    const auto value = withIntent();
    EXPECT_FALSE(m_home.beginDispatch(m_deadline + 1ns, value, m_deadline));
    EXPECT_EQ(m_home.state(value), ticket_state::closed);
    EXPECT_FALSE(m_home.beginDispatch(m_start, value, m_deadline));
}

// Guards against a dispatch without a recorded intent, for which the witness would then report "not run".
TEST_F(home, dispatch_without_intent_closes_the_ticket)
{
    const auto value = claimed();
    EXPECT_FALSE(m_home.beginDispatch(m_start, value, m_deadline));
    EXPECT_EQ(m_home.state(value), ticket_state::closed);
}

// Guards against a cluster of one live node being unable to serve tickets.
TEST_F(home, ticket_without_witness_dispatches_after_claim)
{
    const auto value = m_home.issue(m_start, {}).value();
    EXPECT_FALSE(m_home.beginDispatch(m_start, m_home.issue(m_start, {}).value(), m_deadline)) << "not claimed";
    EXPECT_EQ(m_home.claimTicket(m_start, value, request(1)).result, claim_result::granted);
    EXPECT_TRUE(m_home.beginDispatch(m_start, value, m_deadline));
}

// Guards against reporting "not run" for a request that was dispatched.
TEST_F(home, close_after_dispatch_is_refused)
{
    const auto value = dispatched();
    EXPECT_FALSE(m_home.close(value));
    m_home.markAnswered(value);
    EXPECT_FALSE(m_home.close(value));
}

// Guards against a late acknowledgement that dispatches a request after its caller was told "not run".
TEST_F(home, late_acknowledgement_after_close_does_not_dispatch)
{
    const auto value = withIntent();
    EXPECT_TRUE(m_home.close(value));
    EXPECT_TRUE(m_home.close(value)) << "the answer stays the same";
    EXPECT_FALSE(m_home.beginDispatch(m_start, value, m_deadline));
    EXPECT_EQ(m_home.claimTicket(m_start, value, request(99)).result, claim_result::closed);
    m_home.markAnswered(value);
    EXPECT_EQ(m_home.state(value), ticket_state::closed);
}

// Guards against dispatching an expired ticket. A ticket expires by the clock of its home.
TEST_F(home, claim_after_lifetime_is_closed)
{
    const auto value = issue();
    EXPECT_EQ(m_home.claimTicket(m_start + lifetime + 1ns, value, request(1)).result, claim_result::closed);
    EXPECT_EQ(m_home.claimTicket(m_start, value, request(1)).result, claim_result::closed) << "stays closed";
}

// Guards against evicting or closing the ticket of a request that waits for a slot longer than the ticket lifetime.
TEST_F(home, claimed_ticket_outlives_its_lifetime)
{
    const auto value = withIntent();
    const auto late = m_start + 10 * lifetime;
    while (m_home.issue(late, m_witnessProcess)) { }
    EXPECT_TRUE(m_home.beginDispatch(late, value, late + 1s));
}

// Guards against evicting tickets in use when the home table is full.
TEST_F(home, full_table_refuses_new_tickets)
{
    const std::vector<ticket> used { issue(), claimed(), withIntent(), dispatched() };
    EXPECT_FALSE(m_home.issue(m_start + lifetime, m_witnessProcess));
    EXPECT_EQ(m_home.size(), 4U);
    m_home.markAnswered(used[3]);
    EXPECT_TRUE(m_home.issue(m_start, m_witnessProcess));
    EXPECT_FALSE(m_home.issue(m_start, m_witnessProcess));
    EXPECT_TRUE(m_home.issue(m_start + lifetime + 1ns, m_witnessProcess)) << "the unused ticket has expired";
    EXPECT_EQ(m_home.size(), 4U);
}

// Guards against granting an evicted ticket again, which could dispatch its request twice.
TEST_F(home, evicted_ticket_is_unknown)
{
    const auto answered = dispatched();
    m_home.markAnswered(answered);
    const auto closed = claimed();
    m_home.close(closed);
    const auto expired = issue();
    const auto late = m_start + lifetime + 1ns;
    while (m_home.issue(late, m_witnessProcess)) { }
    for (const auto& value : { answered, closed, expired }) {
        EXPECT_EQ(m_home.claimTicket(late, value, request(99)).result, claim_result::unknown);
        EXPECT_FALSE(m_home.close(value)) << "the home no longer knows that it did not run";
        EXPECT_FALSE(m_home.beginDispatch(late, value, late + 1s));
        EXPECT_FALSE(m_home.state(value));
    }
}

// Guards against deciding a ticket of an earlier incarnation or of another node, which only its home or witness can decide.
TEST_F(home, ticket_of_another_process_is_foreign)
{
    for (const auto& other :
        { process_identity { m_homeProcess.node, incarnation(99) }, process_identity { node_id("10.1.0.2:7400"), m_homeProcess.run } }) {
        auto value = issue();
        value.home = other;
        EXPECT_EQ(m_home.claimTicket(m_start, value, request(1)).result, claim_result::foreign);
        EXPECT_FALSE(m_home.close(value));
        EXPECT_FALSE(m_home.beginDispatch(m_start, value, m_deadline));
    }
}

// Guards against an authentic ticket with a sequence that this table never issued.
TEST_F(home, ticket_never_issued_is_unknown)
{
    EXPECT_EQ(m_home.claimTicket(m_start, ticketOf(100, 12345), request(1)).result, claim_result::unknown);
}

// Guards against memory that grows with the number of tickets instead of the capacity.
TEST_F(home, size_stays_within_capacity)
{
    const auto unused = issue();
    for (int i = 0; i < 1000; ++i) {
        const auto value = dispatched();
        m_home.markAnswered(value);
        EXPECT_LE(m_home.size(), 4U);
    }
    EXPECT_EQ(m_home.claimTicket(m_start, unused, request(1)).result, claim_result::granted);
}

// Guards against settings with which no ticket could be issued or claimed.
TEST_F(home, zero_capacity_or_lifetime_is_refused)
{
    EXPECT_THROW(home_table(m_homeProcess, 0, lifetime), error);
    EXPECT_THROW(home_table(m_homeProcess, 1, duration::zero()), error);
}

} // namespace
} // namespace carawaylink
