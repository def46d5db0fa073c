#include "gateway/gateway_node.h"

#include "base/error.h"
#include "base/random.h"
#include "base/time.h"
#include "exchange.h"
#include "fleet_members.h"
#include "mesh/membership_transport.h"
#include "peer_links.h"
#include "placement_query.h"
#include "request_dispatcher.h"
#include "rollout_driver.h"
#include "store_sync.h"
#include "stream_store.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <condition_variable>
#include <future>
#include <mutex>

namespace carawaylink::gateway {

namespace {

constexpr auto tickInterval = std::chrono::milliseconds(25);
// Callers that a draining node turns away keep using its address for a while.
constexpr auto minDrainTime = std::chrono::milliseconds(3500);
// Active requests are aborted after this fraction of the grace period, before the process is killed.
constexpr double usableGraceFraction = 0.93;
// A node that withdraws hears of others that do so by then.
constexpr auto minWithdrawal = std::chrono::seconds(1);
constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusUnavailable = 503;
constexpr std::size_t maxDirectoryAddresses = 64;
// Of the metrics address; the name of a service follows.
constexpr std::string_view rolloutPath = "/rollout/";
// Connections for readiness, the directory and metrics, each.
constexpr std::size_t maxQueryConnections = 1000;
constexpr std::size_t maxQueryBodyBytes = 65536;
// The fleet is the only one on its addresses and has no secret of its own; the key only tells its datagrams from others.
const std::string membershipCluster = "platform";
const key_ring::key membershipKey { "platform", "carawaylink-platform" };

failure_detector_settings membershipSettings()
{
    failure_detector_settings settings;
    settings.probeInterval = std::chrono::milliseconds(250);
    settings.probeTimeout = std::chrono::milliseconds(100);
    settings.suspicionTimeout = std::chrono::milliseconds(600);
    settings.deadProbeInterval = std::chrono::seconds(1);
    settings.renewsIncarnation = true;
    return settings;
}

incarnation currentIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return incarnation(static_cast<std::uint64_t>(wholeMilliseconds(now)));
}

} // namespace

struct gateway_node::implementation {
    implementation(gateway_settings given, std::shared_ptr<const protocol_codec> givenCodec)
        : settings(std::move(given))
        , codec(std::move(givenCodec))
        , log(settings.nodeName)
        , threads(1)
        , context(threads.context(0))
        , memory(settings.maxMessageBytes, [this](std::function<void()> work) { threads.post(0, std::move(work)); })
        , client(context, &memory)
        , dispatcher(context, settings, *codec, client, log, metrics)
        , members(node_id { settings.peerAddress }, settings.processorCapacity, std::chrono::steady_clock::now())
        , membership(context, membershipCluster, { membershipKey }, [this](const member_changed& change) { onMemberChanged(change); })
        , store(context, settings, *codec, log, members, storeHandlers())
        , streamStore(context, settings.storeAddress, *codec, log)
        , links(context, node_id { settings.peerAddress }, log, linkHandlers(), &memory)
        , frontend(
              threads, frontendLimits(),
              [this](http_request request, std::shared_ptr<http_responder> responder) {
                  dispatcher.handle(std::move(request), std::move(responder));
              },
              &memory)
        , readiness(threads, queryLimits(),
              [this](http_request request, std::shared_ptr<http_responder> responder) { answerReadiness(request, *responder); })
        , directory(threads, queryLimits(),
              [this](http_request request, std::shared_ptr<http_responder> responder) { answerDirectory(request, *responder); })
        , metricsServer(threads, queryLimits(),
              [this](const http_request& request, std::shared_ptr<http_responder> responder) { answerOperator(request, *responder); })
        , ticker(context)
        , random(randomSeed())
    {
        if (settings.rollouts)
            createRollouts();
        dispatcher.setMemoryBudget(&memory);
        memory.setOnExcess([this](const memory_budget::excess& excess) { logMemoryExcess(excess); });
    }

    void createRollouts()
    {
        rollout_driver::handlers callbacks;
        callbacks.send = [this](const node_id& node, peer::envelopeT message) { links.send(node, std::move(message)); };
        callbacks.append = [this](const service_status& status, std::uint64_t at, auto onDone) {
            store.appendStatus(
                status, at, [this](rollout::route_hash route) { return routeName(route); }, std::move(onDone));
        };
        callbacks.statusPosition = [this] { return store.statusPosition(); };
        callbacks.readStatus = [this] { store.readStatus(); };
        callbacks.routeName = [this](rollout::route_hash route) { return routeName(route); };
        callbacks.isServiceKnown = [this](const service_id& service) { return isServiceKnown(service); };
        rollouts = std::make_unique<rollout_driver>(
            node_id { settings.peerAddress }, *settings.rollouts, random(), log, metrics, dispatcher.slots(), std::move(callbacks));
        dispatcher.slots().holdNewVersions();
        dispatcher.setRouteMarker(
            [this](const service_id& service, const std::string& route) { return rollouts->routeOf(service, route); });
    }

    std::string routeName(rollout::route_hash hash) const
    {
        if (!dispatcher.routes())
            return {};
        const auto& routes = dispatcher.routes()->configuration().routes;
        const auto found = std::ranges::find(routes, hash, [](const routing::route& route) { return routeHash(route.name); });
        return found == routes.end() ? std::string {} : found->name;
    }

    bool isServiceKnown(const service_id& service) const
    {
        if (!dispatcher.routes())
            return true;
        const auto& services = dispatcher.routes()->configuration().services;
        return std::ranges::find(services, service, &routing::service_definition::name) != services.end();
    }

    void logMemoryExcess(const memory_budget::excess& excess)
    {
        log.event("memory_exceeded", excess.kind)
            .field("ended", excess.kind)
            .field("bytes", excess.holderBytes)
            .field("all_bytes", excess.usedBytes)
            .field("limit", memory.maxBytes());
        metrics.memoryExceeded(excess.kind);
    }

    // Of servers whose requests need no body.
    static http_server_limits queryLimits()
    {
        http_server_limits result;
        result.maxBodyBytes = maxQueryBodyBytes;
        result.maxConnections = maxQueryConnections;
        return result;
    }

    store_sync::handlers storeHandlers()
    {
        store_sync::handlers result;
        result.onConfiguration
            = [this](routing::fleet_configuration configuration) { return applyConfiguration(std::move(configuration)); };
        result.onEndpoints = [this](const auto& records) { dispatcher.setEndpoints(records); };
        result.onNodes = [this](const std::set<node_id>& nodes) {
            members.setListed(nodes);
            membership.addSeeds({ nodes.begin(), nodes.end() });
        };
        result.onQuarantine = [this](const std::vector<store_record>& records) { dispatcher.restoreQuarantine(records); };
        result.onQuarantineLost = [this](const std::vector<store_record>& records) { dispatcher.rewriteQuarantine(records); };
        result.onQuotaMarks = [this](const std::vector<store_record>& records) { dispatcher.restoreQuotaMarks(records); };
        result.onStreamBases
            = [this](const std::map<service_id, std::string>& bases, monotonic_time asOf) { dispatcher.streams().setBases(bases, asOf); };
        result.onHistoryChanged = [this] { dispatcher.streams().onHistoryChanged(std::chrono::steady_clock::now()); };
        result.send = [this](std::span<const node_id> nodes, peer::envelopeT message) { links.send(nodes, std::move(message)); };
        result.version = [this] { return dispatcher.version(); };
        if (!settings.rollouts)
            return result;
        result.onOrder = [this](const rollout::order& order) { rollouts->setOrder(order, std::chrono::steady_clock::now()); };
        result.onStatus = [this](const service_status& status) { rollouts->setStatus(status, std::chrono::steady_clock::now()); };
        result.onRules = [this](const peer::rollout_rulesT& rules) { rollouts->receive(rules, std::chrono::steady_clock::now()); };
        result.rules = [this] { return rollouts->rulesToPassOn(std::chrono::steady_clock::now()); };
        result.decides = [this] { return rollouts->decides(); };
        result.hasOpenOrders = [this] { return rollouts->hasOpenOrders(); };
        return result;
    }

    peer_link_handlers linkHandlers()
    {
        peer_link_handlers result;
        result.onMessage = [this](const node_id& sender, const peer::envelopeT& message) { onPeerMessage(sender, message); };
        result.onLost = [this](const node_id& peer) { dispatcher.loseConnection(peer); };
        result.onRefused = [this](const node_id& peer) {
            dispatcher.loseConnection(peer);
            membership.confirmDead({ peer, members.runOf(peer) });
        };
        return result;
    }

    http_server_limits frontendLimits() const
    {
        const routing::caller_limits limits;
        http_server_limits result;
        result.maxHeaderBytes = limits.maxHeaderBytes;
        result.maxBodyBytes = limits.maxBodyBytes;
        result.headerTimeout = limits.headerTimeout;
        result.idleTimeout = limits.idleTimeout;
        result.maxConnections = settings.maxCallerConnections;
        return result;
    }

    void start()
    {
        log.event("start")
            .field("frontend", settings.frontendAddress)
            .field("peer", settings.peerAddress)
            .field("first", settings.isFirstStart);
        links.listen();
        frontend.listen(settings.frontendAddress);
        readiness.listen(settings.readinessAddress);
        directory.listen(settings.directoryAddress);
        if (!settings.metricsAddress.empty())
            metricsServer.listen(settings.metricsAddress);
        dispatcher.setPeerHandlers([this](const node_id& node, peer::envelopeT message) { links.send(node, std::move(message)); },
            [this](const node_id& owner) { links.drop(owner); });
        dispatcher.setQuarantineStore(
            [this](const std::string& key, const std::string& value) { store.publish(store_topic::quarantine, key, value); });
        dispatcher.setQuotaStore([this](const team_id& team, bool isMarked) {
            log.event("quota_mark").field("team", team).field("marked", isMarked ? 1 : 0);
            store.publish(store_topic::quotas, team.value, isMarked ? "ahead" : "");
        });
        dispatcher.streams().setStore(streamStoreAccess());
        dispatcher.setOnPathChanged([this](bool isLost) { onPathChanged(isLost); });
        startMembership();
        store.start();
        tick();
    }

    stream_versions::store_access streamStoreAccess()
    {
        stream_versions::store_access result;
        result.append
            = [this](const std::string& record, std::function<void(bool)> onDone) { streamStore.append(record, std::move(onDone)); };
        result.read = [this](std::function<void(const start_records&)> onDone) { streamStore.read(std::move(onDone)); };
        result.writeBase = [this](const streams::software_version& base, std::function<void()> onDone) {
            store.writeStreamBase(base.service, base.version, std::move(onDone));
        };
        result.readBases = [this] { store.readStreamBases(); };
        return result;
    }

    void startMembership()
    {
        member_update self;
        self.node = node_id { settings.peerAddress };
        self.run = currentIncarnation();
        self.domain = settings.domain;
        self.capacity = static_cast<std::uint16_t>(settings.processorCapacity);
        membership.start(settings.peerAddress, self, membershipSettings());
        std::vector<node_id> seeds;
        std::ranges::transform(settings.seeds, std::back_inserter(seeds), [](const std::string& seed) { return node_id { seed }; });
        membership.addSeeds(seeds);
    }

    void onMemberChanged(const member_changed& change)
    {
        members.apply(change.member, std::chrono::steady_clock::now());
        if (change.member.state == change.before)
            return;
        log.event("member_changed", memberStateNames.name(change.member.state))
            .field("peer", change.member.node)
            .field("state", memberStateNames.name(change.member.state))
            .field("before", memberStateNames.name(change.before))
            .field("incarnation", change.member.run);
        const bool hasEnded = change.member.state == member_state::dead || change.member.state == member_state::left;
        if (hasEnded)
            dispatcher.removeNode(change.member.node);
    }

    bool applyConfiguration(routing::fleet_configuration configuration)
    {
        if (!dispatcher.setConfiguration(std::move(configuration)))
            return false;
        applyCallerLimits();
        return true;
    }

    void applyCallerLimits()
    {
        const auto& limits = dispatcher.routes()->configuration().limits;
        auto result = frontendLimits();
        result.maxHeaderBytes = limits.maxHeaderBytes;
        result.maxBodyBytes = limits.maxBodyBytes;
        result.headerTimeout = limits.headerTimeout;
        result.idleTimeout = limits.idleTimeout;
        frontend.setLimits(result);
    }

    void onPeerMessage(const node_id& sender, const peer::envelopeT& message)
    {
        if (dispatcher.receive(sender, message))
            return;
        if (const auto* update = message.body.Asstore_update())
            store.receive(sender, *update);
        else if (const auto* request = message.body.Ascopy_request())
            store.receive(sender, *request);
        else if (const auto* copy = message.body.Asstore_copy())
            store.receive(sender, *copy);
        else if (const auto* rules = message.body.Asrollout_rules(); rules && rollouts)
            rollouts->receive(*rules, std::chrono::steady_clock::now());
        else if (const auto* report = message.body.Asrollout_report(); report && rollouts)
            rollouts->receive(*report, std::chrono::steady_clock::now());
    }

    // Callers that cannot connect turn to another node at once, and do not come back until the directory names this one again.
    void onPathChanged(bool isLost)
    {
        if (isLost) {
            isReturning = false;
            hasPath = false;
            withdrawnAt = std::chrono::steady_clock::now();
            frontend.pause();
            membership.setHttpAddress(addressWithoutCallers(settings.frontendAddress));
        } else {
            isReturning = true;
        }
    }

    void resumeCallers(monotonic_time now)
    {
        // Where no other node is left, callers are better off here.
        const bool isAlone = !hasPath && now - withdrawnAt > minWithdrawal && members.frontends().empty();
        if (!isReturning && !isAlone)
            return;
        try {
            frontend.resume(settings.frontendAddress);
            hasPath = true;
            isReturning = false;
        } catch (const error& failure) {
            log.event("frontend_unavailable").field("error", '"' + std::string(failure.what()) + '"');
        }
    }

    bool isReady() const { return dispatcher.isConfigured() && store.isLoaded() && !isDraining && hasPath; }

    void answerOperator(const http_request& request, http_responder& responder)
    {
        if (request.path() == placementQueryPath)
            responder.send(dispatcher.answerPlacementQuery(request));
        else if (rollouts && request.target.starts_with(rolloutPath))
            answerRollout(service_id { request.target.substr(rolloutPath.size()) }, responder);
        else
            responder.send({ statusOk, { { "Content-Type", "text/plain; version=0.0.4" } }, metrics.text() });
    }

    void answerReadiness(const http_request& request, http_responder& responder)
    {
        if (!codec->isReadinessQuery(request))
            responder.send({ statusNotFound, {}, {} });
        else
            responder.send({ isReady() ? statusOk : statusUnavailable, {}, {} });
    }

    void answerRollout(const service_id& service, http_responder& responder)
    {
        const auto status = rollouts->statusOf(service, std::chrono::steady_clock::now());
        if (!status) {
            responder.send(jsonResponse(statusNotFound,
                R"({"error":{"type":"not_found","message":"no order to this service is known","remedy":"check the name"}})"));
            return;
        }
        const auto record = codec->encodeStatus(*status, [this](rollout::route_hash route) { return routeName(route); });
        const auto decider = rollouts->deciderOf(service).value_or(node_id {});
        responder.send(jsonResponse(statusOk,
            R"({"answered_by":")" + settings.peerAddress + R"(","decides":")" + decider.value + R"(","status":)"
                + record.value.value_or("null") + "}"));
    }

    void answerDirectory(const http_request& request, http_responder& responder)
    {
        const auto query = codec->decodeDirectoryQuery(request);
        if (!query) {
            responder.send({ statusNotFound, {}, {} });
            return;
        }
        auto addresses = members.frontends();
        if (isReady())
            addresses.push_back(settings.frontendAddress);
        if (addresses.empty()) {
            responder.send(refusalResponse(statusUnavailable, "not_ready", std::nullopt));
            return;
        }
        // In a large fleet each answer names a part of the nodes; all parts must be used alike.
        if (addresses.size() > maxDirectoryAddresses) {
            std::ranges::shuffle(addresses, random);
            addresses.resize(maxDirectoryAddresses);
        }
        responder.send(codec->directoryResponse(addresses, settings.directoryTtl));
    }

    void tick()
    {
        const auto now = std::chrono::steady_clock::now();
        resumeCallers(now);
        announceReadiness();
        if (std::exchange(appliedMembers, members.version()) != members.version())
            dispatcher.setMembers(members);
        dispatcher.tick();
        if (rollouts)
            rollouts->tick(now);
        store.tick(now);
        if (now - lastFlushAt > std::chrono::seconds(1)) {
            lastFlushAt = now;
            dispatcher.updateGauges();
            dispatcher.releaseUnknownSlots();
            metrics.setMessageBytes(memory.usedBytes());
            metrics.setLiveNodes(members.serving().size());
            log.flush();
        }
        if (isDraining && (now >= drainDeadline || (now - drainStartedAt > minDrainTime && hasAnsweredAll()))) {
            stop();
            return;
        }
        ticker.expires_after(tickInterval);
        ticker.async_wait([this](boost::system::error_code status) {
            if (!status)
                tick();
        });
    }

    // A node that accepts callers says so by its address.
    void announceReadiness()
    {
        members.setSelfServing(isReady());
        if (isReady() && membership.self().httpAddress != settings.frontendAddress)
            membership.setHttpAddress(settings.frontendAddress);
    }

    void drain()
    {
        if (std::exchange(isDraining, true))
            return;
        drainStartedAt = std::chrono::steady_clock::now();
        drainDeadline = drainStartedAt + std::chrono::duration_cast<duration>(settings.stopGracePeriod * usableGraceFraction);
        log.event("stop_begins").field("active", dispatcher.active());
        dispatcher.beginDrain(drainDeadline);
        frontend.closeAfterResponses();
        membership.setDraining();
    }

    // An exchange ends when its response is handed to the connection, which may still hold bytes for a caller that reads slowly.
    bool hasAnsweredAll() const { return dispatcher.active() == 0 && frontend.unwrittenResponses() == 0; }

    void stop()
    {
        log.event("stop").field("active", dispatcher.active()).field("unwritten", frontend.unwrittenResponses());
        log.flush();
        membership.leave();
        const std::lock_guard guard(stopMutex);
        isStopped = true;
        stopSignal.notify_all();
    }

    gateway_settings settings;
    std::shared_ptr<const protocol_codec> codec;
    decision_log log;
    gateway_metrics metrics;
    io_threads threads;
    boost::asio::io_context& context;
    memory_budget memory;
    http_client client;
    request_dispatcher dispatcher;
    fleet_members members;
    membership_transport membership;
    store_sync store;
    stream_store streamStore;
    peer_links links;
    http_server frontend;
    http_server readiness;
    http_server directory;
    http_server metricsServer;
    /// Set if orders of roll-outs are in force.
    std::unique_ptr<rollout_driver> rollouts;
    boost::asio::steady_timer ticker;
    random_source random;
    /// Version of the members that the dispatcher knows.
    std::uint64_t appliedMembers = 0;
    bool isDraining = false;
    /// Endpoints can be reached from this node.
    bool hasPath = true;
    /// The path is back, and callers are accepted from the next tick on.
    bool isReturning = false;
    monotonic_time withdrawnAt {};
    monotonic_time drainStartedAt {};
    monotonic_time drainDeadline {};
    monotonic_time lastFlushAt {};
    std::mutex stopMutex;
    std::condition_variable stopSignal;
    bool isStopped = false;
};

gateway_node::gateway_node(gateway_settings settings, std::shared_ptr<const protocol_codec> codec)
    : m_implementation(std::make_unique<implementation>(std::move(settings), std::move(codec)))
{
}

gateway_node::~gateway_node()
{
    m_implementation->threads.stop();
}

void gateway_node::start()
{
    std::promise<void> started;
    m_implementation->threads.post(0, [&] {
        try {
            m_implementation->start();
            started.set_value();
        } catch (...) {
            started.set_exception(std::current_exception());
        }
    });
    started.get_future().get();
}

void gateway_node::drain()
{
    m_implementation->threads.post(0, [this] { m_implementation->drain(); });
}

void gateway_node::waitUntilStopped()
{
    std::unique_lock guard(m_implementation->stopMutex);
    m_implementation->stopSignal.wait(guard, [this] { return m_implementation->isStopped; });
}

} // namespace carawaylink::gateway
