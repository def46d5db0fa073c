#include "gateway/gateway_node.h"

#include "base/error.h"
#include "base/random.h"
#include "endpoint_registry.h"
#include "exchange.h"
#include "peer_links.h"
#include "peer_state_table.h"
#include "request_dispatcher.h"
#include "store_follower.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <condition_variable>
#include <future>
#include <limits>
#include <mutex>

namespace carawaylink::gateway {

namespace {

constexpr auto tickInterval = std::chrono::milliseconds(25);
// Interval between peer reports; it grows with the fleet beyond nodesAtFullRate nodes, so that the cost per node stays bounded.
constexpr auto reportInterval = std::chrono::milliseconds(50);
constexpr double nodesAtFullRate = 15;
// Slowly changing state is included only in every n-th report.
constexpr std::uint64_t usageReportPeriod = 3;
constexpr std::uint64_t allUsageReportPeriod = 8 * usageReportPeriod;
// Changed speeds may be lost with a report that a newer one replaced before it was written, so all are sent periodically.
constexpr std::uint64_t allSpeedsReportPeriod = 40;
constexpr std::uint64_t membersReportPeriod = 20;
// Number of nodes that read the store at the full rate and forward changes to the others.
constexpr std::size_t primaryReaders = 2;
constexpr auto passiveEndpointInterval = std::chrono::seconds(15);
constexpr auto passiveConfigurationWait = std::chrono::seconds(15);
constexpr auto passiveNodesInterval = std::chrono::seconds(30);
// A node whose peers report no log position newer than this reads the endpoints itself. Well below the time within which a leaving
// endpoint must stop receiving requests.
constexpr auto maxPeerPositionAge = std::chrono::milliseconds(1000);
// A peer counts as lost after this many report intervals without a report, but not before minPeerTimeout.
constexpr int maxMissedReports = 6;
constexpr auto minPeerTimeout = std::chrono::milliseconds(700);
constexpr auto endpointInterval = std::chrono::milliseconds(800);
constexpr auto configurationWait = std::chrono::milliseconds(1500);
constexpr auto nodesInterval = std::chrono::seconds(4);
constexpr auto storeCopyInterval = std::chrono::milliseconds(400);
// Callers that a draining node turns away keep using its address for a while.
constexpr auto minDrainTime = std::chrono::milliseconds(3500);
// Active requests are aborted after this fraction of the grace period, before the process is killed.
constexpr double usableGraceFraction = 0.93;
constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusUnavailable = 503;
constexpr std::size_t maxDirectoryAddresses = 64;

// Clamps the value to the range of the field.
template <typename Field> Field saturated(std::int64_t value)
{
    return static_cast<Field>(std::clamp<std::int64_t>(value, 0, std::numeric_limits<Field>::max()));
}

} // namespace

struct gateway_node::implementation {
    implementation(gateway_settings given, std::shared_ptr<const protocol_codec> givenCodec)
        : settings(std::move(given))
        , codec(std::move(givenCodec))
        , log(settings.nodeName)
        , threads(1)
        , context(threads.context(0))
        , client(context)
        , storeClient(context)
        , dispatcher(context, settings, *codec, client, log, metrics)
        , peerStates(settings.peerAddress, dispatcher, log)
        , links(context, settings.peerAddress, log, [this](const peer::envelopeT& message) { onPeerMessage(message); })
        , frontend(threads, frontendLimits(),
              [this](http_request request, std::shared_ptr<http_responder> responder) {
                  dispatcher.handle(std::move(request), std::move(responder));
              })
        , readiness(threads, {},
              [this](http_request request, std::shared_ptr<http_responder> responder) { answerReadiness(request, *responder); })
        , directory(threads, {},
              [this](http_request request, std::shared_ptr<http_responder> responder) { answerDirectory(request, *responder); })
        , metricsServer(threads, {},
              [this](const http_request&, std::shared_ptr<http_responder> responder) {
                  responder->send({ statusOk, { { "Content-Type", "text/plain; version=0.0.4" } }, metrics.text() });
              })
        , ticker(context)
        , reporter(context)
        , incarnation(randomSeed())
        , endpoints(*codec, log)
    {
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
        for (const auto& seed : settings.seeds)
            links.add(seed);
        followStore();
        publishSelf();
        tick();
        report();
    }

    void followStore()
    {
        const auto follower = [this](follow_options options, store_follower::handlers handlers) {
            auto created
                = std::make_shared<store_follower>(context, storeClient, settings.storeAddress, *codec, log, options, std::move(handlers));
            created->start();
            return created;
        };
        const auto applyRecords = [this](const std::vector<store_record>& records) {
            std::ranges::for_each(records, [this](const store_record& record) { applyConfiguration(record); });
        };
        configurationFollower
            = follower({ store_topic::configuration, configurationWait, {} }, { applyRecords, applyRecords, [](duration) {} });
        endpointFollower = follower({ store_topic::endpoints, {}, endpointInterval },
            { [this](const auto& records) { onEndpointSnapshot(records); }, [this](const auto& records) { onEndpointRecords(records); },
                [this](duration outage) { endpoints.onStoreReconnected(outage, std::chrono::steady_clock::now()); } });
        nodeFollower = follower({ store_topic::nodes, {}, nodesInterval },
            { [this](const auto& records) { onNodeRecords(records); }, [this](const auto& records) { onNodeRecords(records); },
                [](duration) {} });
    }

    void publishSelf()
    {
        http_call_options options;
        options.idleTimeout = std::chrono::seconds(2);
        storeClient.send(settings.storeAddress, codec->publish(store_topic::nodes, settings.nodeName, settings.peerAddress), options,
            [this](const http_result& result) {
                if (result.ok() && result.response.status == statusOk)
                    return;
                log.event("publish_failed").field("status", result.response.status).field("detail", '"' + result.detail + '"');
                auto timer = std::make_shared<boost::asio::steady_timer>(context, std::chrono::milliseconds(500));
                timer->async_wait([this, timer](boost::system::error_code status) {
                    if (!status)
                        publishSelf();
                });
            });
    }

    void applyConfiguration(const store_record& record)
    {
        try {
            auto routes = codec->decodeConfiguration(record);
            if (!routes || !dispatcher.setConfiguration(std::move(*routes)))
                return;
            configurationRecord = record;
            applyCallerLimits();
            if (isPrimaryReader())
                links.broadcast(storeCopy(true, false));
        } catch (const error& failure) {
            log.event("configuration_invalid").field("key", record.key).field("error", '"' + std::string(failure.what()) + '"');
        }
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

    void onEndpointSnapshot(const std::vector<store_record>& records)
    {
        if (endpoints.replaceAll(records, endpointFollower->offset(), std::chrono::steady_clock::now()))
            publishEndpoints();
    }

    void onEndpointRecords(const std::vector<store_record>& records)
    {
        if (endpoints.apply(records, endpointFollower->offset(), std::chrono::steady_clock::now()))
            publishEndpoints();
    }

    void publishEndpoints()
    {
        applyEndpoints();
        if (isPrimaryReader())
            links.broadcast(storeCopy(false, true));
    }

    void applyEndpoints()
    {
        const auto draining = std::ranges::count_if(endpoints.records(), [](const auto& entry) { return entry.second.draining; });
        log.event("endpoints_changed")
            .field("endpoints", endpoints.records().size())
            .field("draining", draining)
            .field("offset", endpoints.changedOffset());
        dispatcher.setEndpoints(endpoints.records());
    }

    void onNodeRecords(const std::vector<store_record>& records)
    {
        for (const auto& record : records) {
            if (record.value) {
                listedAddresses.insert(*record.value);
                links.add(*record.value);
            }
        }
        peerStates.setListedAddresses(listedAddresses);
    }

    void onPeerMessage(const peer::envelopeT& message)
    {
        const auto now = std::chrono::steady_clock::now();
        if (const auto* report = message.body.Asnode_report()) {
            peerStates.applyReport(*report, now);
            links.add(report->node);
            for (const auto& member : report->members)
                links.add(member);
        } else if (const auto* copy = message.body.Asstore_copy()) {
            applyStoreCopy(*copy);
        }
    }

    // Store records forwarded by a peer, for nodes that read the store at a reduced rate or cannot reach it.
    void applyStoreCopy(const peer::store_copyT& copy)
    {
        if (!copy.configuration_key.empty())
            applyConfiguration({ copy.configuration_key, std::string(copy.configuration.begin(), copy.configuration.end()) });
        if (copy.endpoints.empty() || copy.endpoints_offset <= endpointFollower->offset())
            return;
        endpointFollower->skipTo(copy.endpoints_offset);
        if (endpoints.applyCopy(copy, endpointFollower->isReachable(), std::chrono::steady_clock::now()))
            applyEndpoints();
    }

    bool isReady() const { return dispatcher.isConfigured() && endpoints.isLoaded() && !isDraining; }
    bool reachesStore() const { return configurationFollower->isReachable() && endpointFollower->isReachable(); }

    void answerReadiness(const http_request& request, http_responder& responder)
    {
        if (!codec->isReadinessQuery(request))
            responder.send({ statusNotFound, {}, {} });
        else
            responder.send({ isReady() ? statusOk : statusUnavailable, {}, {} });
    }

    void answerDirectory(const http_request& request, http_responder& responder)
    {
        const auto query = codec->decodeDirectoryQuery(request);
        if (!query) {
            responder.send({ statusNotFound, {}, {} });
            return;
        }
        auto addresses = peerStates.readyFrontends();
        if (isReady())
            addresses.insert(addresses.begin(), settings.frontendAddress);
        if (addresses.empty()) {
            responder.send(refusalResponse(statusUnavailable, "not_ready", std::nullopt));
            return;
        }
        if (addresses.size() > maxDirectoryAddresses)
            addresses.resize(maxDirectoryAddresses);
        responder.send(codec->directoryResponse(addresses, settings.directoryTtl));
    }

    void tick()
    {
        const auto now = std::chrono::steady_clock::now();
        dispatcher.tick();
        adjustReadTiming();
        peerStates.refresh(std::max<duration>(minPeerTimeout, maxMissedReports * currentReportInterval()), now);
        if (endpoints.expire(endpointFollower->offset(), now))
            publishEndpoints();
        if (now - lastFlushAt > std::chrono::seconds(1)) {
            lastFlushAt = now;
            metrics.setLiveNodes(peerStates.liveNodes());
            log.flush();
        }
        if (isDraining && (now >= drainDeadline || (dispatcher.active() == 0 && now - drainStartedAt > minDrainTime))) {
            stop();
            return;
        }
        ticker.expires_after(tickInterval);
        ticker.async_wait([this](boost::system::error_code status) {
            if (!status)
                tick();
        });
    }

    duration currentReportInterval() const
    {
        const auto factor = std::max(1.0, static_cast<double>(peerStates.liveNodes()) / nodesAtFullRate);
        return std::chrono::duration_cast<duration>(reportInterval * factor);
    }

    void report()
    {
        sendReport();
        sendStoreCopies();
        reporter.expires_after(currentReportInterval());
        reporter.async_wait([this](boost::system::error_code status) {
            if (!status)
                report();
        });
    }

    void sendReport()
    {
        peer::node_reportT report;
        report.node = settings.peerAddress;
        report.incarnation = incarnation;
        report.frontend = settings.frontendAddress;
        report.ready = isReady();
        report.leaving = isDraining;
        report.store_reachable = reachesStore();
        report.configuration_version = dispatcher.version().value;
        report.endpoints_age_ms = endpointsAgeMs();
        report.endpoints_offset = endpointFollower->offset();
        report.endpoints_changed_offset = endpoints.changedOffset();
        for (const auto& own : dispatcher.reportLoads()) {
            report.loads.emplace_back(own.replica, saturated<std::uint32_t>(own.load.pendingPrefill.value),
                saturated<std::uint16_t>(own.load.running), saturated<std::uint16_t>(own.load.memory.value / tokensPerMemoryUnit));
        }
        ++reportCount;
        const bool hasNewPeers = peerStates.takeNewPeers();
        if (hasNewPeers || reportCount % usageReportPeriod == 0) {
            for (const auto& [team, use] : dispatcher.reportUsage(hasNewPeers || reportCount % allUsageReportPeriod == 0))
                report.usage.emplace_back(team, use.used, static_cast<float>(use.remaining), static_cast<float>(use.reserved));
        }
        for (const auto& own : dispatcher.reportSpeeds(hasNewPeers || reportCount % allSpeedsReportPeriod == 0)) {
            report.speeds.emplace_back(own.replica, static_cast<float>(own.speed.baseMs), static_cast<float>(own.speed.msPerToken),
                static_cast<float>(own.speed.msPerEvent), own.speed.samples);
        }
        if (reportCount % membersReportPeriod == 1)
            report.members = peerStates.liveAddresses();
        peer::envelopeT message;
        message.body.Set(std::move(report));
        links.broadcast(message);
    }

    void sendStoreCopies()
    {
        const auto now = std::chrono::steady_clock::now();
        const auto receivers = peerStates.peersWithoutStore();
        if (receivers.empty() || !reachesStore() || now - lastStoreCopyAt < storeCopyInterval)
            return;
        lastStoreCopyAt = now;
        for (const auto& address : receivers)
            links.send(address, storeCopy(peerStates.peerVersion(address) < dispatcher.version(), true));
    }

    peer::envelopeT storeCopy(bool withConfiguration, bool withEndpoints) const
    {
        peer::store_copyT copy;
        if (withConfiguration && configurationRecord.value) {
            copy.configuration_key = configurationRecord.key;
            copy.configuration.assign(configurationRecord.value->begin(), configurationRecord.value->end());
        }
        if (withEndpoints)
            endpoints.fillCopy(copy, endpointFollower->offset(), std::chrono::steady_clock::now());
        peer::envelopeT message;
        message.body.Set(std::move(copy));
        return message;
    }

    bool isPrimaryReader() const { return peerStates.storeReadersBefore() < primaryReaders; }

    std::uint32_t endpointsAgeMs() const
    {
        const auto asOf = endpointFollower->asOf();
        if (asOf == monotonic_time {})
            return std::numeric_limits<std::uint32_t>::max();
        return saturated<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - asOf).count());
    }

    // Two primary readers read the store at the full rate for the fleet. If they stop reporting or lose the store, the next nodes take
    // over.
    void adjustReadTiming()
    {
        const auto now = std::chrono::steady_clock::now();
        const bool readsAtFullRate = isPrimaryReader() || !reachesStore();
        configurationFollower->setReadTiming(readsAtFullRate ? duration(configurationWait) : duration(passiveConfigurationWait), {});
        const auto peerPosition = peerStates.latestEndpointPosition(endpointFollower->offset());
        const bool isPeerPositionRecent = now - peerPosition.asOf < maxPeerPositionAge;
        if (isPeerPositionRecent)
            endpointFollower->skipTo(peerPosition.offset);
        const bool needsEndpointRead = readsAtFullRate || !isPeerPositionRecent;
        endpointFollower->setReadTiming({}, needsEndpointRead ? duration(endpointInterval) : duration(passiveEndpointInterval));
        if (needsEndpointRead && now - endpointFollower->asOf() > maxPeerPositionAge)
            endpointFollower->readNow();
        nodeFollower->setReadTiming({}, readsAtFullRate ? duration(nodesInterval) : duration(passiveNodesInterval));
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
        sendReport();
    }

    void stop()
    {
        log.event("stop").field("active", dispatcher.active());
        log.flush();
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
    http_client client;
    http_client storeClient;
    request_dispatcher dispatcher;
    peer_state_table peerStates;
    peer_links links;
    http_server frontend;
    http_server readiness;
    http_server directory;
    http_server metricsServer;
    boost::asio::steady_timer ticker;
    boost::asio::steady_timer reporter;
    std::uint64_t incarnation;
    std::shared_ptr<store_follower> configurationFollower;
    std::shared_ptr<store_follower> endpointFollower;
    std::shared_ptr<store_follower> nodeFollower;
    endpoint_registry endpoints;
    std::set<std::string> listedAddresses;
    store_record configurationRecord;
    bool isDraining = false;
    monotonic_time drainStartedAt {};
    monotonic_time drainDeadline {};
    monotonic_time lastFlushAt {};
    monotonic_time lastStoreCopyAt {};
    std::uint64_t reportCount = 0;
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
