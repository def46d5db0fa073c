#include "load/entry_cache.h"

#include "json_fields.h"

#include <algorithm>

namespace carawaylink::load {
namespace {

// Long enough that the calls of one second do not all wait for the connect timeout of a dead address.
constexpr auto avoidTime = std::chrono::seconds(1);

std::vector<std::string> textList(const boost::json::object& object, std::string_view key)
{
    std::vector<std::string> result;
    const auto* list = object.if_contains(key);
    if (list == nullptr || !list->is_array())
        return result;
    for (const auto& item : list->get_array()) {
        if (item.is_string())
            result.emplace_back(item.get_string());
    }
    return result;
}

} // namespace

entry_answer readEntryAnswer(std::string_view body)
{
    boost::json::error_code failure;
    const auto value = boost::json::parse(body, failure);
    if (failure || !value.is_object())
        throw error(error_kind::invalid_message, "the entry answer is not a JSON object", "check the address given with --entry");
    const auto& object = value.get_object();
    entry_answer answer;
    answer.addresses = textList(object, "addresses");
    answer.lifetime = std::chrono::milliseconds(integerField(object, "lifetime_ms", 0));
    answer.tickets = textList(object, "tickets");
    if (answer.addresses.empty() || answer.lifetime <= duration::zero())
        throw error(error_kind::invalid_message, "the entry answer has no addresses or no lifetime_ms", "check the node's settings");
    return answer;
}

entry_cache::entry_cache(std::vector<std::string> seeds)
    : m_seeds(std::move(seeds))
{
}

void entry_cache::update(entry_answer answer, const std::string& issuer, monotonic_time now)
{
    m_addresses = std::move(answer.addresses);
    m_refresh = now + answer.lifetime / 2;
    m_expiry = now + answer.lifetime;
    for (auto& ticket : answer.tickets)
        m_tickets.push_back({ std::move(ticket), issuer });
}

bool entry_cache::avoided(const std::string& address, monotonic_time now) const
{
    const auto found = m_avoidUntil.find(address);
    return found != m_avoidUntil.end() && now < found->second;
}

std::string entry_cache::next(monotonic_time now, std::string_view except)
{
    if (m_addresses.empty())
        return {};
    std::string fallback;
    for (std::size_t i = 0; i < m_addresses.size(); ++i) {
        const auto& address = m_addresses[m_rotation++ % m_addresses.size()];
        if (address == except)
            continue;
        if (!avoided(address, now))
            return address;
        fallback = address;
    }
    return fallback.empty() ? m_addresses.front() : fallback;
}

std::string entry_cache::nextEntry(monotonic_time now)
{
    const auto known = m_addresses.size();
    const auto count = known + m_seeds.size();
    std::string address;
    for (std::size_t i = 0; i < count; ++i) {
        const auto index = m_entryRotation++ % count;
        address = index < known ? m_addresses[index] : m_seeds[index - known];
        if (!avoided(address, now))
            break;
    }
    return address;
}

void entry_cache::connectFailed(const std::string& address, monotonic_time now)
{
    m_avoidUntil[address] = now + avoidTime;
    dropTickets(address);
}

std::optional<held_ticket> entry_cache::takeTicket()
{
    if (m_tickets.empty())
        return std::nullopt;
    auto ticket = std::move(m_tickets.back());
    m_tickets.pop_back();
    return ticket;
}

void entry_cache::dropTickets(const std::string& issuer)
{
    std::erase_if(m_tickets, [&](const held_ticket& ticket) { return ticket.issuer == issuer; });
}

} // namespace carawaylink::load
