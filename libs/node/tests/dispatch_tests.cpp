#include "dispatch_fixture.h"

namespace carawaylink {
namespace {

using namespace std::chrono_literals;

class dispatch_test : public dispatch_fixture {
protected:
    static constexpr std::size_t slots = 64;

    /// A request that another home node submits to this owner.
    scheduling_request remoteRequest(std::uint64_t sequence, const node_id& home) const
    {
        scheduling_request result;
        result.id = { 5, sequence };
        result.home = home;
        result.team = team_id("t");
        result.promptTokens = result.maxOutputTokens = tokens(1);
        result.arrival = now;
        result.deadline = now + 60s;
        return result;
    }
    std::size_t grantsDelivered() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(delivered, [](const auto& entry) { return std::holds_alternative<slot_grant>(entry.second); }));
    }
    slot_grant grantFor(std::uint64_t sequence) const
    {
        return { { self.run.value, sequence }, self.node, directory->endpoints().begin()->first, {}, {} };
    }
};

// Guards against a request that is permitted twice, and against a slot that stays occupied after its request has ended.
TEST_F(dispatch_test, request_is_permitted_once_and_frees_its_slot)
{
    setMembers({ self });
    ASSERT_TRUE(owns());
    for (std::uint64_t i = 1; i <= slots + 1; ++i)
        acquire(i);
    EXPECT_EQ(decisions.size(), slots);
    dispatch->deliver(now, self.node, grantFor(1));
    EXPECT_EQ(count<dispatch_permission>(1), 1U);
    EXPECT_EQ(count<dispatch_permission>(slots + 1), 0U);
    finish(1);
    EXPECT_EQ(count<dispatch_permission>(slots + 1), 1U);
    for (std::uint64_t i = 2; i <= slots + 1; ++i)
        finish(i);
    EXPECT_EQ(running(), 0U);
    EXPECT_EQ(dispatch->pendingRequests(), 0U);
}

// Guards against a new owner that grants occupied slots before the homes have reported them.
TEST_F(dispatch_test, new_owner_counts_reported_slots_before_it_grants)
{
    const process_identity other { node_id("127.0.0.1:998"), incarnation(5) };
    const std::vector<member_update> both { memberOf(self), memberOf(other) };
    const bool ownsAlone = poolOwner(pool, both) == self.node;
    const auto peer = ownsAlone ? other : process_identity { node_id("127.0.0.1:997"), incarnation(5) };
    setMembers({ self, peer });
    if (!owns())
        GTEST_FAIL() << "no peer found with which this node owns the pool";
    EXPECT_EQ(syncRequested, (std::vector<node_id> { peer.node }));
    acquire(1);
    EXPECT_TRUE(decisions.empty());

    std::vector<std::tuple<scheduling_request, endpoint_id, tokens>> outstanding;
    for (std::uint64_t i = 1; i <= slots; ++i)
        outstanding.emplace_back(remoteRequest(i, peer.node), directory->endpoints().begin()->first, tokens(0));
    // A partial list must not make the pool ready.
    poolManager->sync(now, peer.node, pool, {}, { outstanding.begin(), outstanding.begin() + 10 }, false);
    EXPECT_TRUE(decisions.empty());
    poolManager->sync(now, peer.node, pool, { remoteRequest(1000, peer.node) }, { outstanding.begin() + 10, outstanding.end() }, true);
    poolManager->tick(now);
    deliverLocalActions();
    EXPECT_EQ(running(), slots);
    EXPECT_TRUE(decisions.empty());
    slot_release release;
    release.request = { 5, 1 };
    poolManager->release(now, release);
    release.request = { 5, 2 };
    poolManager->release(now, release);
    EXPECT_EQ(running(), slots);
    EXPECT_EQ(grantsDelivered(), 2U);
    deliverLocalActions();
    EXPECT_EQ(count<dispatch_permission>(1), 1U);
}

// Guards against a pool that waits forever for a home that does not report.
TEST_F(dispatch_test, new_owner_grants_after_the_sync_wait)
{
    const auto other = otherOwner();
    setMembers({ other });
    setMembers({ self, other });
    EXPECT_FALSE(owns());
    acquire(1);
    // The owner dies: this node takes over and has no other home to wait for.
    setMembers({ self });
    deliverLocalActions();
    EXPECT_EQ(count<dispatch_permission>(1), 1U);

    // If a home does not report, the pool becomes ready after the sync wait.
    poolManager->handleHomeFailure(now, self.node);
    setMembers({});
    std::vector<process_identity> members { self };
    for (int port = 1; members.size() < 2; ++port) {
        const process_identity unresponsive { node_id("127.0.0.1:" + std::to_string(port)), incarnation(5) };
        if (poolOwner(pool, std::vector { memberOf(self), memberOf(unresponsive) }) == self.node)
            members.push_back(unresponsive);
    }
    setMembers(members);
    acquire(2);
    EXPECT_EQ(count<dispatch_permission>(2), 0U);
    now += syncWait;
    poolManager->tick(now);
    deliverLocalActions();
    EXPECT_EQ(count<dispatch_permission>(2), 1U);
}

// Guards against requests that are lost, dispatched twice or occupy two slots when the owner of their pool changes.
TEST_F(dispatch_test, owner_change_keeps_waiting_and_outstanding_requests)
{
    const auto other = otherOwner();
    setMembers({ self, other });
    acquire(1);
    acquire(2);
    dispatch->deliver(now, other.node, grantFor(1));
    EXPECT_EQ(count<dispatch_permission>(1), 1U);

    setMembers({ self });
    deliverLocalActions();
    EXPECT_EQ(count<dispatch_permission>(1), 1U);
    EXPECT_EQ(count<dispatch_permission>(2), 1U);
    EXPECT_EQ(running(), 2U);
    // A late grant of the old owner is returned without a second dispatch.
    dispatch->deliver(now, other.node, grantFor(2));
    EXPECT_EQ(decisions.size(), 2U);
    finish(1);
    finish(2);
    EXPECT_EQ(running(), 0U);
}

// Guards against using a grant of an old owner while the request waits at the new one: it would occupy two slots.
TEST_F(dispatch_test, grant_of_an_old_owner_is_returned)
{
    const auto other = otherOwner();
    setMembers({ self, other });
    acquire(1);
    dispatch->deliver(now, self.node, grantFor(1));
    EXPECT_TRUE(decisions.empty());
    dispatch->deliver(now, other.node, slot_refusal { { self.run.value, 9 }, self.node, refusal_reason::displaced, "", {}, {} });
    EXPECT_TRUE(decisions.empty());
    dispatch->deliver(now, other.node, grantFor(1));
    EXPECT_EQ(count<dispatch_permission>(1), 1U);
}

// Guards against leaked slots when a home cancels a request while its grant is in transit.
TEST_F(dispatch_test, slot_of_a_request_cancelled_after_its_grant_is_freed)
{
    setMembers({ self });
    for (std::uint64_t i = 1; i <= slots; ++i)
        poolManager->submit(now, pool, remoteRequest(i, node_id("home")));
    poolManager->submit(now, pool, remoteRequest(slots + 1, node_id("home")));
    ASSERT_EQ(grantsDelivered(), slots);
    poolManager->cancel(now, node_id("home"), { 5, 1 });
    slot_release returned;
    returned.request = { 5, 1 };
    returned.outcome = release_outcome::unused;
    poolManager->release(now, returned);
    EXPECT_EQ(grantsDelivered(), slots + 1);
}

// Guards against a slot that stays occupied because its release message was lost.
TEST_F(dispatch_test, lost_release_is_reclaimed_by_the_homes_list)
{
    setMembers({ self });
    const node_id home("home");
    for (std::uint64_t i = 1; i <= slots + 1; ++i)
        poolManager->submit(now, pool, remoteRequest(i, home));
    const auto report = [&](std::uint64_t first) {
        std::vector<slot_progress> entries;
        for (auto i = first; i <= slots; ++i)
            entries.push_back({ { 5, i }, tokens(1), 1ms });
        poolManager->handleProgress(now, home, entries);
    };
    // A recent grant that is missing from the list may still be in transit to its home.
    report(2);
    EXPECT_EQ(grantsDelivered(), slots);
    now += 2 * grantLifetime + 1ms;
    report(1);
    EXPECT_EQ(grantsDelivered(), slots);
    report(2);
    EXPECT_EQ(grantsDelivered(), slots + 1);
}

// Guards against an owner that refuses requests after a pause, because it still counts requests that their home has released since.
TEST_F(dispatch_test, requests_missing_from_a_complete_list_are_dropped)
{
    setMembers({ self });
    const node_id home("home");
    for (std::uint64_t i = 1; i <= slots + 1; ++i)
        poolManager->submit(now, pool, remoteRequest(i, home));
    EXPECT_EQ(grantsDelivered(), slots);
    poolManager->sync(now, home, pool, { remoteRequest(slots + 2, home) }, {}, false);
    EXPECT_EQ(poolManager->status(now).front().status.running, slots);
    poolManager->sync(now, home, pool, {}, {}, true);
    EXPECT_EQ(poolManager->status(now).front().status.running, 1U);
    EXPECT_EQ(poolManager->status(now).front().status.waiting, 0U);
}

// Guards against a dispatch without the witness's acknowledgement, and against its slot staying occupied.
TEST_F(dispatch_test, refused_intent_gives_not_run_and_no_dispatch)
{
    const process_identity witness { node_id("127.0.0.1:9"), incarnation(5) };
    setMembers({ self });
    const auto ticketText = issueTicket({ self, witness });
    acquire(1, ticketText);
    EXPECT_TRUE(decisions.empty());
    EXPECT_EQ(running(), 1U);
    wire::ticket_intent_answerT answer;
    answer.exchange = 1;
    while (decisions.empty() && answer.exchange < 10) {
        tickets->receive(answer);
        ++answer.exchange;
    }
    ASSERT_EQ(count<refusal>(1), 1U);
    EXPECT_EQ(decision<refusal>(0).ran, ran_state::no);
    EXPECT_FALSE(decision<refusal>(0).remedy.empty());
    EXPECT_EQ(running(), 0U);
    // "Not run" is final: a late acknowledgement changes nothing, and a retry with the same ticket is refused.
    answer.accepted = true;
    for (answer.exchange = 1; answer.exchange < 10; ++answer.exchange)
        tickets->receive(answer);
    acquire(2, ticketText);
    ASSERT_EQ(count<refusal>(2), 1U);
    EXPECT_EQ(decision<refusal>(1).type, "ticket_closed");
    EXPECT_EQ(decision<refusal>(1).ran, ran_state::no);
}

// Guards against a dispatch, or a result other than "not run", if the witness does not answer: the home closes the ticket itself.
TEST_F(dispatch_test, silent_witness_gives_not_run)
{
    setMembers({ self });
    acquire(1, issueTicket({ self, { node_id("127.0.0.1:9"), incarnation(5) } }));
    runUntil(context, [&] { return !decisions.empty(); });
    ASSERT_EQ(count<refusal>(1), 1U);
    EXPECT_EQ(decision<refusal>(0).type, "witness_unavailable");
    EXPECT_EQ(decision<refusal>(0).ran, ran_state::no);
}

// Guards against a retry with the same ticket that executes the call again.
TEST_F(dispatch_test, retry_gets_the_first_answer)
{
    setMembers({ self });
    const auto ticketText = issueTicket({ self });
    acquire(1, ticketText);
    ASSERT_EQ(count<dispatch_permission>(1), 1U) << (count<refusal>(1) ? decision<refusal>(0).message : "no decision");
    // A retry during the call waits for its response; a later one gets the stored response.
    acquire(2, ticketText);
    EXPECT_EQ(decisions.size(), 1U);
    finish(1, stored_response { 200, "text/plain", "first" });
    acquire(3, ticketText);
    ASSERT_EQ(decisions.size(), 3U);
    for (const std::size_t index : { 1U, 2U })
        EXPECT_EQ(decision<stored_response>(index).body, "first");
    EXPECT_EQ(count<dispatch_permission>(2) + count<dispatch_permission>(3), 0U);

    const auto lost = issueTicket({ self });
    acquire(4, lost);
    finish(4);
    acquire(5, lost);
    ASSERT_EQ(count<refusal>(5), 1U);
    EXPECT_EQ(decision<refusal>(4).ran, ran_state::unknown);
}

// Guards against accepting an altered ticket, and against another node deciding about the ticket of a live home.
TEST_F(dispatch_test, foreign_and_invalid_tickets_are_not_dispatched_here)
{
    const process_identity other { node_id("127.0.0.1:9"), incarnation(5) };
    setMembers({ self, other });
    acquire(1, "nonsense");
    EXPECT_EQ(decision<refusal>(0).type, "invalid_ticket");
    ticket_service otherTicketService(context, other, { .keys = { { "k", "secret-of-the-test-cluster" } } }, *mesh);
    const auto otherHomeTicket = otherTicketService.issue(now, memberOf(other), { memberOf(self), memberOf(other) }).value_or("");
    acquire(2, otherHomeTicket);
    EXPECT_EQ(decision<forward_to_home>(1).httpAddress, "http-of-127.0.0.1:9");
    // The home has failed, and this node as the witness has no intent: the request was not executed and never will be.
    setMembers({ self });
    acquire(3, otherHomeTicket);
    EXPECT_EQ(decision<refusal>(2).type, "ticket_closed");
    EXPECT_EQ(decision<refusal>(2).ran, ran_state::no);
}

} // namespace
} // namespace carawaylink
