#include "peer_mesh.h"

#include "base/error.h"
#include "base/log.h"
#include "base/random.h"
#include "http/message.h"
#include "mesh/periodic_task.h"
#include "peer_channel.h"

#include <algorithm>
#include <map>

namespace carawaylink {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {
constexpr auto checkInterval = std::chrono::milliseconds(50);
constexpr auto firstRedialDelay = std::chrono::milliseconds(20);
} // namespace

struct peer_mesh::implementation : std::enable_shared_from_this<peer_mesh::implementation> {
    struct outgoing {
        std::shared_ptr<peer_channel> channel;
        std::unique_ptr<tcp::socket> dialing;
        std::unique_ptr<asio::steady_timer> redial;
        duration redialDelay = firstRedialDelay;
        std::deque<std::pair<wire::message, wire::frame_bytes>> queue;
        std::size_t queuedBytes = 0;
        /// The process at the other end of the last ready channel.
        std::optional<process_identity> lastProcess;
    };

    implementation(asio::io_context& loop, peer_identity identity, peer_mesh_settings meshSettings, peer_mesh_handlers meshHandlers)
        : context(loop)
        , self(std::move(identity))
        , settings(std::move(meshSettings))
        , handlers(std::move(meshHandlers))
        , acceptor(loop)
        , random(randomSeed())
        , lastCheck(std::chrono::steady_clock::now())
    {
    }

    peer_channel::channel_context makeChannelContext(bool isOutgoing)
    {
        peer_channel::channel_context result;
        result.self = &self;
        result.settings = &settings;
        result.sent = &sent;
        result.received = &received;
        result.onReady = [this, isOutgoing](peer_channel& channel) {
            if (isOutgoing)
                outgoingReady(channel);
        };
        result.onMessage = [this](peer_channel& channel, wire::envelopeT& envelope) { handlers.onMessage(channel.peer(), envelope); };
        result.onEnd = [this, isOutgoing](peer_channel& channel, channel_end reason) {
            if (isOutgoing)
                outgoingEnded(channel, reason);
            else
                std::erase_if(incoming, [&](const auto& entry) { return entry.get() == &channel; });
        };
        return result;
    }

    void accept()
    {
        acceptor.async_accept([this, weak = weak_from_this()](boost::system::error_code status, tcp::socket socket) {
            const auto alive = weak.lock();
            if (!alive || status == asio::error::operation_aborted)
                return;
            if (!status) {
                auto channel = std::make_shared<peer_channel>(std::move(socket), makeChannelContext(false), random());
                incoming.push_back(channel);
                channel->start();
            }
            accept();
        });
    }

    void dial(const node_id& peer)
    {
        auto& entry = peers[peer];
        if (entry.channel || entry.dialing || entry.redial)
            return;
        tcp::endpoint endpoint;
        try {
            const auto parsed = parseAddress(peer.value);
            endpoint = { asio::ip::make_address(parsed.ip), parsed.port };
        } catch (const error& failure) {
            log_event("peer_address_invalid", log_level::warning).field("peer", peer).field("error", failure.what());
            return;
        }
        entry.dialing = std::make_unique<tcp::socket>(context);
        auto& socket = *entry.dialing;
        auto timer = std::make_shared<asio::steady_timer>(context, settings.connectTimeout);
        timer->async_wait([&socket, weak = weak_from_this(), peer](boost::system::error_code status) {
            const auto alive = weak.lock();
            if (!alive || status)
                return;
            const auto found = alive->peers.find(peer);
            if (found == alive->peers.end() || found->second.dialing.get() != &socket)
                return;
            boost::system::error_code ignored;
            socket.close(ignored);
        });
        socket.async_connect(endpoint, [this, weak = weak_from_this(), peer, timer, &socket](boost::system::error_code status) {
            timer->cancel();
            const auto alive = weak.lock();
            if (alive)
                dialed(peer, &socket, status);
        });
    }

    void dialed(const node_id& peer, tcp::socket* socket, boost::system::error_code status)
    {
        const auto found = peers.find(peer);
        if (found == peers.end() || found->second.dialing.get() != socket)
            return;
        auto& entry = found->second;
        auto connected = std::move(entry.dialing);
        if (status) {
            if (status == asio::error::connection_refused && entry.lastProcess)
                reportProcessEnded(entry);
            scheduleRedial(peer);
            return;
        }
        entry.channel = std::make_shared<peer_channel>(std::move(*connected), makeChannelContext(true), random());
        entry.channel->start();
    }

    void reportProcessEnded(outgoing& entry)
    {
        const auto process = *entry.lastProcess;
        entry.lastProcess.reset();
        log_event("peer_process_gone", log_level::warning).field("peer", process.node).field("incarnation", process.run);
        if (handlers.onProcessEnded)
            handlers.onProcessEnded(process);
    }

    void scheduleRedial(const node_id& peer)
    {
        const auto found = peers.find(peer);
        if (found == peers.end())
            return;
        auto& entry = found->second;
        if (!persistentPeers.contains(peer) && entry.queue.empty()) {
            peers.erase(found);
            return;
        }
        entry.redial = std::make_unique<asio::steady_timer>(context, entry.redialDelay);
        entry.redialDelay = std::min<duration>(2 * entry.redialDelay, settings.maxRedialDelay);
        entry.redial->async_wait([this, weak = weak_from_this(), peer](boost::system::error_code status) {
            const auto alive = weak.lock();
            if (!alive || status)
                return;
            const auto current = peers.find(peer);
            if (current == peers.end())
                return;
            current->second.redial.reset();
            dial(peer);
        });
    }

    peer_channel* outgoingChannel(const peer_channel& channel, node_id& peer)
    {
        for (auto& [id, entry] : peers) {
            if (entry.channel.get() == &channel) {
                peer = id;
                return entry.channel.get();
            }
        }
        return nullptr;
    }

    void outgoingReady(peer_channel& channel)
    {
        node_id peer;
        if (!outgoingChannel(channel, peer))
            return;
        // A different process may answer at the address of a replaced vm.
        if (auto& known = peers[peer]; known.lastProcess && *known.lastProcess != channel.peer().process) {
            reportProcessEnded(known);
            // The handler may have dropped the peer and thereby this channel; the new process is dialed once it is a member.
            const auto found = peers.find(peer);
            if (found == peers.end() || found->second.channel.get() != &channel)
                return;
        }
        auto& entry = peers[peer];
        entry.lastProcess = channel.peer().process;
        entry.redialDelay = firstRedialDelay;
        auto queue = std::move(entry.queue);
        entry.queue.clear();
        entry.queuedBytes = 0;
        if (handlers.onConnected)
            handlers.onConnected(channel.peer());
        for (auto& [kind, frame] : queue) {
            // onConnected has registered every waiting request again; the remaining time in these frames was computed when they were
            // queued.
            if (kind != wire::message::slot_request)
                channel.send(kind, std::move(frame));
        }
    }

    void outgoingEnded(peer_channel& channel, channel_end reason)
    {
        node_id peer;
        if (!outgoingChannel(channel, peer))
            return;
        log_event("peer_channel_ended").field("peer", peer).field("reason", channelEndNames.name(reason));
        auto& entry = peers[peer];
        const auto endedChannel = std::move(entry.channel);
        if (reason == channel_end::closed) {
            peers.erase(peer);
            return;
        }
        // After a reset, dial immediately: a refused connection shows that the process has ended.
        if (reason == channel_end::reset && endedChannel->ready())
            dial(peer);
        else
            scheduleRedial(peer);
    }

    void check()
    {
        const auto now = std::chrono::steady_clock::now();
        // After a pause of this process, heartbeats from the peers wait unread in the sockets.
        const bool wasPaused = now - lastCheck > settings.receiveTimeout / 2;
        lastCheck = now;
        std::vector<std::shared_ptr<peer_channel>> channels = incoming;
        for (auto& [id, entry] : peers) {
            if (entry.channel)
                channels.push_back(entry.channel);
        }
        for (auto& channel : channels) {
            if (wasPaused)
                channel->resetReceiveTimeout(now);
            channel->checkTimeouts(now, handlers.makeHeartbeat);
        }
        std::vector<std::shared_ptr<peer_channel>> idle;
        for (auto& [id, entry] : peers) {
            if (entry.channel && !persistentPeers.contains(id) && now - entry.channel->lastActivity() > settings.idleTimeout)
                idle.push_back(entry.channel);
        }
        for (auto& channel : idle)
            channel->close(channel_end::closed);
    }

    asio::io_context& context;
    peer_identity self;
    peer_mesh_settings settings;
    peer_mesh_handlers handlers;
    tcp::acceptor acceptor;
    random_source random;
    monotonic_time lastCheck;
    std::vector<std::shared_ptr<peer_channel>> incoming;
    std::map<node_id, outgoing> peers;
    std::set<node_id> persistentPeers;
    traffic_counters sent;
    traffic_counters received;
    std::unique_ptr<periodic_task> checkTask;
};

peer_mesh::peer_mesh(asio::io_context& context, peer_identity self, peer_mesh_settings settings, peer_mesh_handlers handlers)
    : m_implementation(std::make_shared<implementation>(context, std::move(self), std::move(settings), std::move(handlers)))
{
    m_implementation->checkTask
        = std::make_unique<periodic_task>(context, checkInterval, [state = m_implementation.get()] { state->check(); });
}

peer_mesh::~peer_mesh()
{
    boost::system::error_code ignored;
    m_implementation->acceptor.close(ignored);
    m_implementation->checkTask.reset();
    // Channels call back into the mesh, so all of them are closed before it is destroyed.
    auto channels = std::move(m_implementation->incoming);
    for (auto& [id, entry] : std::exchange(m_implementation->peers, {})) {
        if (entry.channel)
            channels.push_back(entry.channel);
    }
    for (auto& channel : channels)
        channel->close(channel_end::closed);
}

std::string peer_mesh::listen(const std::string& address)
{
    const auto parsed = parseAddress(address);
    const tcp::endpoint endpoint(asio::ip::make_address(parsed.ip), parsed.port);
    auto& acceptor = m_implementation->acceptor;
    try {
        acceptor.open(endpoint.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen();
    } catch (const boost::system::system_error& failure) {
        throw error(error_kind::unavailable, "cannot listen on " + address + ": " + failure.code().message(),
            "choose a free port for node_address");
    }
    m_implementation->accept();
    const auto bound = acceptor.local_endpoint();
    return bound.address().to_string() + ":" + std::to_string(bound.port());
}

void peer_mesh::setSelf(const peer_identity& self)
{
    m_implementation->self = self;
}

void peer_mesh::keepConnected(const std::set<node_id>& peers)
{
    m_implementation->persistentPeers = peers;
    std::ranges::for_each(peers, [this](const node_id& peer) { m_implementation->dial(peer); });
}

void peer_mesh::dropPeer(const node_id& peer)
{
    const auto found = m_implementation->peers.find(peer);
    if (found == m_implementation->peers.end())
        return;
    const auto channel = found->second.channel;
    m_implementation->persistentPeers.erase(peer);
    m_implementation->peers.erase(found);
    if (channel)
        channel->close(channel_end::closed);
}

bool peer_mesh::send(const node_id& peer, wire::message kind, wire::frame_bytes frame)
{
    auto& entry = m_implementation->peers[peer];
    if (entry.channel && entry.channel->ready()) {
        if (entry.channel->queuedBytes() + frame.size() > m_implementation->settings.maxQueuedBytes)
            return false;
        entry.channel->send(kind, std::move(frame));
        return true;
    }
    if (entry.queuedBytes + frame.size() > m_implementation->settings.maxQueuedBytes)
        return false;
    entry.queuedBytes += frame.size();
    entry.queue.emplace_back(kind, std::move(frame));
    m_implementation->dial(peer);
    return true;
}

std::size_t peer_mesh::connections() const
{
    const auto outgoing = std::ranges::count_if(m_implementation->peers, [](const auto& entry) { return entry.second.channel != nullptr; });
    return m_implementation->incoming.size() + static_cast<std::size_t>(outgoing);
}

const traffic_counters& peer_mesh::sent() const
{
    return m_implementation->sent;
}

const traffic_counters& peer_mesh::received() const
{
    return m_implementation->received;
}

} // namespace carawaylink
