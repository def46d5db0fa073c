#pragma once

#include "base/enum_table.h"
#include "ticket/ticket.h"

#include <cstddef>
#include <memory>
#include <optional>

namespace carawaylink {

enum class ticket_state {
    open,
    /// A request holds the ticket and waits for a slot.
    claimed,
    intent_sent,
    dispatched,
    answered,
    /// The request was not dispatched and never will be.
    closed,
};

inline constexpr auto ticketStateNames = enumTable<ticket_state>({
    { ticket_state::open, "open" },
    { ticket_state::claimed, "claimed" },
    { ticket_state::intent_sent, "intent_sent" },
    { ticket_state::dispatched, "dispatched" },
    { ticket_state::answered, "answered" },
    { ticket_state::closed, "closed" },
});

enum class claim_result {
    /// The caller's request is the first with this ticket and may go on.
    granted,
    /// Another request with the ticket is in progress or answered: attach to it by its request id.
    attach,
    /// The ticket was closed without a dispatch: the request was not executed.
    closed,
    /// The table has no entry for the ticket: whether the request was executed is unknown.
    unknown,
    /// The ticket was issued by another process.
    foreign,
};

inline constexpr auto claimResultNames = enumTable<claim_result>({
    { claim_result::granted, "granted" },
    { claim_result::attach, "attach" },
    { claim_result::closed, "closed" },
    { claim_result::unknown, "unknown" },
    { claim_result::foreign, "foreign" },
});

struct claim {
    claim_result result = claim_result::unknown;
    /// The request that holds the ticket, for attach.
    request_id holder;
};

/// Tickets issued by one home incarnation. Memory is bounded: only expired unclaimed, closed and answered tickets are evicted. A
/// claimed ticket stays until it is closed or answered, so the holder of a claim must do either. Not thread-safe; does no I/O and
/// reads no clock.
class home_table {
public:
    /// capacity: maximum number of tickets stored. lifetime: how long after its issue a ticket may be claimed, on this process'
    /// monotonic clock. Throws error(invalid_argument) for a capacity or lifetime of 0.
    home_table(process_identity self, std::size_t capacity, duration lifetime);
    ~home_table();

    /// Issues a ticket. Returns nothing if the table is full and no ticket can be evicted.
    std::optional<ticket> issue(monotonic_time now, const process_identity& witness);
    /// Binds a request to a ticket, or returns the reason for the refusal.
    claim claimTicket(monotonic_time now, const ticket& value, const request_id& request);
    /// Records that the intent is being sent to the witness.
    void markIntentSent(const ticket& value);
    /// Requests permission to dispatch after the witness accepted the intent (or the ticket has no witness). Returns false if the
    /// ticket is closed, was already dispatched, or now is past the deadline; a ticket not yet dispatched is then closed.
    bool beginDispatch(monotonic_time now, const ticket& value, monotonic_time deadline);
    /// Closes a ticket that was not dispatched. Returns true if the request was certainly not executed and never will be.
    bool close(const ticket& value);
    void markAnswered(const ticket& value);
    std::optional<ticket_state> state(const ticket& value) const;
    std::size_t size() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace carawaylink
