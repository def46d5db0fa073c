#include "ticket_service.h"

#include "base/error.h"
#include "base/log.h"
#include "membership/ownership.h"
#include "wire_values.h"

namespace carawaylink {

ticket_service::ticket_service(boost::asio::io_context& context, process_identity self, ticket_service_settings settings, peer_mesh& mesh)
    : m_context(context)
    , m_self(self)
    , m_settings(std::move(settings))
    , m_mesh(mesh)
    , m_keys(m_settings.keys)
    , m_home(self, m_settings.homeCapacity, m_settings.ticketLifetime)
    , m_witness(self, m_settings.witnessCapacity)
{
}

ticket_service::~ticket_service() = default;

std::optional<std::string> ticket_service::issue(monotonic_time now, const member_update& self, const std::vector<member_update>& members)
{
    const auto chosen = chooseWitness(self, members, m_nextExchange++);
    const auto witness = chosen ? process_identity { chosen->node, chosen->run } : process_identity {};
    const auto issued = m_home.issue(now, witness);
    return issued ? std::optional(m_keys.seal(*issued)) : std::nullopt;
}

template <typename Answer>
std::uint64_t ticket_service::beginExchange(exchanges<Answer>& pending, std::function<void(Answer)> callback, Answer onTimeout)
{
    const auto number = m_nextExchange++;
    auto& entry = pending[number];
    entry.callback = std::move(callback);
    entry.timer = std::make_unique<boost::asio::steady_timer>(m_context, m_settings.answerTimeout);
    entry.timer->async_wait([&pending, number, onTimeout](boost::system::error_code status) {
        if (!status)
            finishExchange(pending, number, onTimeout);
    });
    return number;
}

template <typename Answer> void ticket_service::finishExchange(exchanges<Answer>& pending, std::uint64_t number, Answer answer)
{
    auto entry = pending.extract(number);
    if (!entry.empty())
        entry.mapped().callback(std::move(answer));
}

void ticket_service::recordIntent(const ticket& value, const std::string& sealed, const request_id& request, const endpoint_id& endpoint,
    std::function<void(bool)> callback)
{
    if (value.witness.node.value.empty()) {
        callback(true);
        return;
    }
    wire::ticket_intentT message;
    message.exchange = beginExchange(m_intents, std::move(callback), false);
    message.ticket = sealed;
    message.request = encodeKey(request);
    message.endpoint = endpoint.value;
    const auto number = message.exchange;
    if (!m_mesh.send(value.witness.node, std::move(message)))
        finishExchange(m_intents, number, false);
}

void ticket_service::queryWitness(const ticket& value, const std::string& sealed, std::function<void(witness_answer)> callback)
{
    if (value.witness == m_self) {
        callback(m_witness.queryAndClose(value));
        return;
    }
    if (value.witness.node.value.empty()) {
        callback({});
        return;
    }
    wire::ticket_queryT message;
    message.exchange = beginExchange(m_queries, std::move(callback), witness_answer {});
    message.ticket = sealed;
    const auto number = message.exchange;
    if (!m_mesh.send(value.witness.node, std::move(message)))
        finishExchange(m_queries, number, witness_answer {});
}

void ticket_service::receive(const peer_identity& from, const wire::ticket_intentT& message)
{
    auto result = intent_result::foreign;
    try {
        const auto value = m_keys.open(message.ticket);
        // Only the ticket's home may record an intent.
        if (value.home == from.process)
            result = m_witness.recordIntent(value, decodeKey(message.request), endpoint_id(message.endpoint));
    } catch (const error& failure) {
        log_event("ticket_intent_refused", log_level::warning).field("peer", from.process.node).field("error", failure.what());
    }
    wire::ticket_intent_answerT answer;
    answer.exchange = message.exchange;
    answer.accepted = result == intent_result::accepted;
    answer.reason = intentResultNames.name(result);
    m_mesh.send(from.process.node, std::move(answer));
}

void ticket_service::receive(const wire::ticket_intent_answerT& message)
{
    finishExchange(m_intents, message.exchange, message.accepted);
}

void ticket_service::receive(const peer_identity& from, const wire::ticket_queryT& message)
{
    witness_answer result;
    try {
        result = m_witness.queryAndClose(m_keys.open(message.ticket));
    } catch (const error& failure) {
        log_event("ticket_query_refused", log_level::warning).field("peer", from.process.node).field("error", failure.what());
    }
    wire::ticket_query_answerT answer;
    answer.exchange = message.exchange;
    answer.state = witnessStateNames.name(result.state);
    answer.request = encodeKey(result.request);
    answer.endpoint = result.endpoint.value;
    m_mesh.send(from.process.node, std::move(answer));
}

void ticket_service::receive(const wire::ticket_query_answerT& message)
{
    witness_answer answer;
    answer.state = witnessStateNames.parse(message.state).value_or(witness_state::unknown);
    answer.request = decodeKey(message.request);
    answer.endpoint = endpoint_id(message.endpoint);
    finishExchange(m_queries, message.exchange, std::move(answer));
}

} // namespace carawaylink
