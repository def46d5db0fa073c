#pragma once

#include "fleet_view.h"
#include "peer_mesh.h"
#include "ticket/home_table.h"
#include "ticket/witness_table.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace carawaylink {

struct ticket_service_settings {
    std::vector<key_ring::key> keys;
    std::size_t homeCapacity = 65536;
    std::size_t witnessCapacity = 131072;
    duration ticketLifetime = std::chrono::minutes(10);
    duration answerTimeout = std::chrono::milliseconds(500);
};

/// Issues tickets and implements the protocol between a ticket's home and its witness. Runs on the control thread.
class ticket_service {
public:
    ticket_service(boost::asio::io_context& context, process_identity self, ticket_service_settings settings, peer_mesh& mesh);
    ~ticket_service();

    /// Issues and seals a ticket. Returns nothing if the home table is full.
    std::optional<std::string> issue(monotonic_time now, const member_update& self, const std::vector<member_update>& members);
    /// Unseals a ticket. Throws error(unauthorized) if it was not sealed by this cluster.
    ticket open(const std::string& sealed) const { return m_keys.open(sealed); }
    home_table& home() { return m_home; }

    /// Records the intent to dispatch at the ticket's witness. The callback receives true only if the witness acknowledged it, or if
    /// the ticket has no witness.
    void recordIntent(const ticket& value, const std::string& sealed, const request_id& request, const endpoint_id& endpoint,
        std::function<void(bool)> callback);
    /// Queries the witness of a ticket whose home is unavailable, which closes the ticket. The callback receives the state unknown if the
    /// witness does not answer.
    void queryWitness(const ticket& value, const std::string& sealed, std::function<void(witness_answer)> callback);

    void receive(const peer_identity& from, const wire::ticket_intentT& message);
    void receive(const wire::ticket_intent_answerT& message);
    void receive(const peer_identity& from, const wire::ticket_queryT& message);
    void receive(const wire::ticket_query_answerT& message);

private:
    template <typename Answer> struct exchange {
        std::function<void(Answer)> callback;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };
    template <typename Answer> using exchanges = std::unordered_map<std::uint64_t, exchange<Answer>>;

    template <typename Answer>
    std::uint64_t beginExchange(exchanges<Answer>& pending, std::function<void(Answer)> callback, Answer onTimeout);
    template <typename Answer> static void finishExchange(exchanges<Answer>& pending, std::uint64_t number, Answer answer);

    boost::asio::io_context& m_context;
    process_identity m_self;
    ticket_service_settings m_settings;
    peer_mesh& m_mesh;
    key_ring m_keys;
    home_table m_home;
    witness_table m_witness;
    std::uint64_t m_nextExchange = 1;
    exchanges<bool> m_intents;
    exchanges<witness_answer> m_queries;
};

} // namespace carawaylink
