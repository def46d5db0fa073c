#include "mesh/membership_transport.h"

#include "base/error.h"
#include "base/log.h"
#include "base/random.h"
#include "crypto/digest.h"
#include "http/message.h"
#include "mesh/periodic_task.h"
#include "wire/frame.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <optional>

namespace carawaylink {

namespace asio = boost::asio;
using udp = asio::ip::udp;

namespace {

constexpr std::size_t macBytes = 16;
constexpr std::size_t maxDatagramBytes = 1500;
constexpr auto tickInterval = std::chrono::milliseconds(50);

constexpr auto memberStates = std::to_array<std::pair<member_state, wire::member_state>>({
    { member_state::alive, wire::member_state::alive },
    { member_state::suspect, wire::member_state::suspect },
    { member_state::dead, wire::member_state::dead },
    { member_state::left, wire::member_state::left },
});

constexpr auto packetKinds = std::to_array<std::pair<packet_kind, wire::membership_kind>>({
    { packet_kind::ping, wire::membership_kind::ping },
    { packet_kind::ping_request, wire::membership_kind::ping_request },
    { packet_kind::ack, wire::membership_kind::ack },
    { packet_kind::join, wire::membership_kind::join },
    { packet_kind::join_answer, wire::membership_kind::join_answer },
});

template <typename Table, typename From> auto encodeEnum(const Table& table, From value)
{
    return std::ranges::find(table, value, &Table::value_type::first)->second;
}

// Returns nullopt for an unknown number, which a newer or hostile peer may send.
template <typename Table, typename From>
auto decodeEnum(const Table& table, From value) -> std::optional<typename Table::value_type::first_type>
{
    const auto found = std::ranges::find(table, value, &Table::value_type::second);
    return found == table.end() ? std::nullopt : std::optional(found->first);
}

std::unique_ptr<wire::member_updateT> encodeUpdate(const member_update& update)
{
    auto result = std::make_unique<wire::member_updateT>();
    result->node = update.node.value;
    result->incarnation = update.run.value;
    result->refutation = update.refutation;
    result->state = encodeEnum(memberStates, update.state);
    result->failure_domain = update.domain.value;
    result->region = update.region;
    result->http_address = update.httpAddress;
    result->draining = update.draining;
    result->config_version = update.config.value;
    result->capacity = update.capacity;
    return result;
}

std::optional<member_update> decodeUpdate(const wire::member_updateT& update)
{
    const auto state = decodeEnum(memberStates, update.state);
    if (!state || update.node.empty())
        return std::nullopt;
    member_update result;
    result.node = node_id(update.node);
    result.run = incarnation(update.incarnation);
    result.refutation = update.refutation;
    result.state = *state;
    result.domain = failure_domain(update.failure_domain);
    result.region = update.region;
    result.httpAddress = update.http_address;
    result.draining = update.draining;
    result.config = config_version(update.config_version);
    result.capacity = update.capacity;
    return result;
}

wire::membership_packetT encodeMembership(const membership_packet& packet, const std::string& cluster)
{
    wire::membership_packetT result;
    result.cluster = cluster;
    result.kind = encodeEnum(packetKinds, packet.kind);
    result.sequence = packet.sequence;
    result.sender = encodeUpdate(packet.sender);
    result.target = packet.target.value;
    std::ranges::transform(packet.updates, std::back_inserter(result.updates), encodeUpdate);
    return result;
}

std::optional<membership_packet> decodeMembership(const wire::membership_packetT& packet)
{
    const auto kind = decodeEnum(packetKinds, packet.kind);
    if (!kind || !packet.sender)
        return std::nullopt;
    const auto sender = decodeUpdate(*packet.sender);
    if (!sender)
        return std::nullopt;
    membership_packet result { *kind, packet.sequence, *sender, node_id(packet.target), {} };
    for (const auto& entry : packet.updates) {
        if (auto update = entry ? decodeUpdate(*entry) : std::nullopt)
            result.updates.push_back(std::move(*update));
    }
    return result;
}

} // namespace

struct membership_transport::implementation : std::enable_shared_from_this<membership_transport::implementation> {
    implementation(asio::io_context& loop, std::string clusterName, std::vector<key_ring::key> clusterKeys, change_handler changeHandler)
        : context(loop)
        , cluster(std::move(clusterName))
        , keys(std::move(clusterKeys))
        , onChange(std::move(changeHandler))
        , socket(loop)
    {
    }

    void perform(const std::vector<membership_action>& actions)
    {
        for (const auto& action : actions) {
            if (const auto* packet = std::get_if<send_packet>(&action))
                transmit(*packet);
            else
                onChange(std::get<member_changed>(action));
        }
    }

    std::string mac(const key_ring::key& key, std::span<const std::uint8_t> bytes) const
    {
        const auto full = hmacSha256(key.secret, { reinterpret_cast<const char*>(bytes.data()), bytes.size() });
        return std::string(asText(full).substr(0, macBytes));
    }

    void transmit(const send_packet& action)
    {
        udp::endpoint endpoint;
        try {
            const auto parsed = parseAddress(action.to.value);
            endpoint = { asio::ip::make_address(parsed.ip), parsed.port };
        } catch (const error& failure) {
            log_event("member_address_invalid", log_level::warning).field("member", action.to).field("error", failure.what());
            return;
        }
        const auto body = wire::encodePacket(encodeMembership(action.packet, cluster));
        const auto code = mac(keys.front(), body);
        const std::array<asio::const_buffer, 2> buffers { asio::buffer(code), asio::buffer(body) };
        boost::system::error_code ignored; // the failure detector tolerates lost datagrams
        socket.send_to(buffers, endpoint, 0, ignored);
        sent.record(static_cast<std::size_t>(action.packet.kind), code.size() + body.size());
    }

    void receive()
    {
        socket.async_receive_from(
            asio::buffer(input), sender, [this, self = shared_from_this()](boost::system::error_code status, std::size_t size) {
                if (status == asio::error::operation_aborted || !socket.is_open())
                    return;
                if (!status)
                    handle({ input.data(), size });
                receive();
            });
    }

    void handle(std::span<const std::uint8_t> datagram)
    {
        if (datagram.size() <= macBytes)
            return;
        const std::string_view code(reinterpret_cast<const char*>(datagram.data()), macBytes);
        const auto body = datagram.subspan(macBytes);
        if (std::ranges::none_of(keys, [&](const key_ring::key& key) { return equalInConstantTime(mac(key, body), code); })) {
            rejected.record(0, datagram.size());
            return;
        }
        const auto packet = wire::decodePacket(body);
        if (!packet || packet->cluster != cluster)
            return;
        const auto decoded = decodeMembership(*packet);
        if (!decoded)
            return;
        received.record(static_cast<std::size_t>(decoded->kind), datagram.size());
        perform(detector->receive(std::chrono::steady_clock::now(), *decoded));
    }

    asio::io_context& context;
    std::string cluster;
    std::vector<key_ring::key> keys;
    change_handler onChange;
    udp::socket socket;
    udp::endpoint sender;
    std::array<std::uint8_t, maxDatagramBytes> input {};
    std::unique_ptr<failure_detector> detector;
    std::unique_ptr<periodic_task> tickTask;
    traffic_counters sent;
    traffic_counters received;
    traffic_counters rejected;
};

membership_transport::membership_transport(
    asio::io_context& context, std::string cluster, std::vector<key_ring::key> keys, change_handler onChange)
    : m_implementation(std::make_shared<implementation>(context, std::move(cluster), std::move(keys), std::move(onChange)))
{
}

membership_transport::~membership_transport()
{
    boost::system::error_code ignored;
    m_implementation->tickTask.reset();
    m_implementation->socket.close(ignored);
}

void membership_transport::start(const std::string& address, member_update self, failure_detector_settings settings)
{
    const auto parsed = parseAddress(address);
    const udp::endpoint endpoint(asio::ip::make_address(parsed.ip), parsed.port);
    try {
        m_implementation->socket.open(endpoint.protocol());
        m_implementation->socket.bind(endpoint);
    } catch (const boost::system::system_error& failure) {
        throw error(error_kind::unavailable, "cannot bind UDP address " + address + ": " + failure.code().message(),
            "choose a free port for node_address");
    }
    m_implementation->socket.non_blocking(true);
    m_implementation->detector = std::make_unique<failure_detector>(std::move(self), settings, randomSeed());
    m_implementation->receive();
    m_implementation->tickTask = std::make_unique<periodic_task>(m_implementation->context, tickInterval,
        [state = m_implementation.get()] { state->perform(state->detector->tick(std::chrono::steady_clock::now())); });
}

void membership_transport::addSeeds(const std::vector<node_id>& seeds)
{
    m_implementation->perform(m_implementation->detector->addSeeds(std::chrono::steady_clock::now(), seeds));
}

void membership_transport::setDraining()
{
    m_implementation->perform(m_implementation->detector->setDraining(std::chrono::steady_clock::now()));
}

void membership_transport::setConfigVersion(config_version version)
{
    m_implementation->perform(m_implementation->detector->setConfigVersion(std::chrono::steady_clock::now(), version));
}

void membership_transport::setHttpAddress(const std::string& address)
{
    m_implementation->perform(m_implementation->detector->setHttpAddress(std::chrono::steady_clock::now(), address));
}

void membership_transport::confirmDead(const process_identity& process)
{
    m_implementation->perform(m_implementation->detector->confirmDead(std::chrono::steady_clock::now(), process.node, process.run));
}

void membership_transport::leave()
{
    m_implementation->perform(m_implementation->detector->leave(std::chrono::steady_clock::now()));
}

const member_update& membership_transport::self() const
{
    return m_implementation->detector->self();
}

std::vector<member_update> membership_transport::members() const
{
    return m_implementation->detector->members();
}

const traffic_counters& membership_transport::sent() const
{
    return m_implementation->sent;
}

const traffic_counters& membership_transport::received() const
{
    return m_implementation->received;
}

} // namespace carawaylink
