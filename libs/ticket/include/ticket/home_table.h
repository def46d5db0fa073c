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
    /// The request has not run and never will.
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
    /// The ticket was closed: the request has not run.
    closed,
    /// The ticket's lifetime has passed and its record is gone: whether it ran is unknown.
    unknown,
    /// The ticket is not this process' own.
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

/// Tickets of one home incarnation. Bounded in memory: only expired unused, closed and answered tickets are forgotten. A
/// claimed ticket stays until it is closed or answered, so the holder of a claim must end it. Not thread-safe; does no I/O and
/// reads no clock.
class home_table {
public:
    /// capacity: tickets remembered at a time. lifetime: how long after its issue a ticket may be claimed, on this process'
    /// monotonic clock. Throws error(invalid_argument) for a capacity or lifetime of 0.
    home_table(process_identity self, std::size_t capacity, duration lifetime);
    ~home_table();

    /// Issues a ticket; nothing where the table is full of tickets in use.
    std::optional<ticket> issue(monotonic_time now, const process_identity& witness);
    /// Binds a request to a ticket, or says why not.
    claim claimTicket(monotonic_time now, const ticket& value, const request_id& request);
    /// The intent goes to the witness now.
    void markIntentSent(const ticket& value);
    /// Asks for permission to dispatch after the witness accepted the intent (or the ticket has no witness). False where the
    /// ticket is closed, was dispatched before, or now is past the deadline; the ticket is then closed unless dispatched.
    bool beginDispatch(monotonic_time now, const ticket& value, monotonic_time deadline);
    /// Closes a ticket that was not dispatched; true where the request certainly did not and will not run.
    bool close(const ticket& value);
    void markAnswered(const ticket& value);
    std::optional<ticket_state> state(const ticket& value) const;
    std::size_t size() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace carawaylink
