#pragma once

#include "ticket/home_table.h"
#include "ticket/witness_table.h"

#include <gtest/gtest.h>

namespace carawaylink {

using namespace std::chrono_literals;

/// One home and one witness with the identities, times and tickets shared by the tests.
class ticket_fixture : public testing::Test {
protected:
    static constexpr duration lifetime = 60s;
    const monotonic_time m_start { 1000s };
    const monotonic_time m_deadline = m_start + 1s;
    const process_identity m_homeProcess { node_id("10.1.0.1:7400"), incarnation(100) };
    const process_identity m_witnessProcess { node_id("10.2.0.1:7400"), incarnation(7) };
    const endpoint_id m_endpoint { "10.9.0.1:8000" };
    home_table m_home { m_homeProcess, 4, lifetime };
    witness_table m_witness { m_witnessProcess, 4, 3 };

    static request_id request(std::uint64_t sequence) { return { 100, sequence }; }
    ticket issue() { return m_home.issue(m_start, m_witnessProcess).value(); }
    ticket claimed()
    {
        const auto value = issue();
        EXPECT_EQ(m_home.claimTicket(m_start, value, request(value.sequence)).result, claim_result::granted);
        return value;
    }
    ticket withIntent()
    {
        const auto value = claimed();
        m_home.markIntentSent(value);
        return value;
    }
    ticket dispatched()
    {
        const auto value = withIntent();
        EXPECT_TRUE(m_home.beginDispatch(m_start, value, m_deadline));
        return value;
    }
    intent_result record(const ticket& value) { return m_witness.recordIntent(value, request(value.sequence), m_endpoint); }
    witness_state query(const ticket& value) { return m_witness.queryAndClose(value).state; }
    ticket ticketOf(std::uint64_t run, std::uint64_t sequence) const
    {
        return { { m_homeProcess.node, incarnation(run) }, m_witnessProcess, sequence };
    }
};

} // namespace carawaylink
