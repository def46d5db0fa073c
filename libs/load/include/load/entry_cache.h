#pragma once

#include "base/ids.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawaylink::load {

/// A ticket and the address that issued it; that node is its home.
struct held_ticket {
    std::string text;
    std::string issuer;
};

/// Answer of GET /v1/entry.
struct entry_answer {
    std::vector<std::string> addresses;
    duration lifetime {};
    std::vector<std::string> tickets;
};

/// Throws error(invalid_message) where the body has another form.
entry_answer readEntryAnswer(std::string_view body);

/// What one team of callers knows about the entry: addresses with a lifetime, and a stock of tickets.
class entry_cache {
public:
    explicit entry_cache(std::vector<std::string> seeds);

    void update(entry_answer answer, const std::string& issuer, monotonic_time now);

    /// True while the addresses have not outlived their lifetime.
    bool usable(monotonic_time now) const { return !m_addresses.empty() && now < m_expiry; }
    /// True from half the lifetime on, so that a refresh normally ends before calls have to wait for it.
    bool refreshDue(monotonic_time now) const { return m_addresses.empty() || now >= m_refresh; }

    /// Next address in rotation; one that failed lately or equals `except` is taken only where there is no other.
    std::string next(monotonic_time now, std::string_view except = {});
    /// Next address to ask for the entry: the known ones, then the seeds.
    std::string nextEntry(monotonic_time now);

    /// The address refused a connection: it is avoided for a while and its tickets are dropped.
    void connectFailed(const std::string& address, monotonic_time now);
    bool avoided(const std::string& address, monotonic_time now) const;

    std::optional<held_ticket> takeTicket();
    std::size_t ticketCount() const { return m_tickets.size(); }
    void dropTickets(const std::string& issuer);
    std::size_t addressCount() const { return m_addresses.size(); }

private:
    std::vector<std::string> m_seeds;
    std::vector<std::string> m_addresses;
    monotonic_time m_refresh {};
    monotonic_time m_expiry {};
    std::size_t m_rotation = 0;
    std::size_t m_entryRotation = 0;
    std::vector<held_ticket> m_tickets;
    std::map<std::string, monotonic_time> m_avoidUntil;
};

} // namespace carawaylink::load
