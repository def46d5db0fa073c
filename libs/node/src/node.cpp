#include "node/node.h"

#include "base/error.h"
#include "base/log.h"
#include "config/exceptions.h"
#include "http/client.h"
#include "membership/ownership.h"
#include "node_state.h"

#include <algorithm>
#include <boost/json.hpp>
#include <thread>

namespace carawaylink {

namespace {

constexpr auto schedulerTickInterval = std::chrono::milliseconds(20);
constexpr auto dispatchTickInterval = std::chrono::milliseconds(100);
constexpr auto drainCheckInterval = std::chrono::milliseconds(50);
constexpr auto viewRefreshInterval = std::chrono::seconds(1);
constexpr auto leaveGracePeriod = std::chrono::milliseconds(200);
// Callers may use an answer of /v1/entry this much longer than its lifetime.
constexpr auto entryExpiryMargin = std::chrono::milliseconds(500);
constexpr std::size_t entryAddressCount = 3;
constexpr auto vmListTimeout = std::chrono::seconds(2);
// Up to this many members each node keeps a connection to every other node, so that a killed process is detected immediately. In
// larger clusters that costs too much traffic: with 10 members the heartbeats alone exceed 3 KB/s.
constexpr std::size_t maxFullMesh = 6;

incarnation newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return incarnation(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count()));
}

} // namespace

node::implementation::implementation(const schema::daemon_settingsT& values)
    : settings(values)
    , self { node_id(values.node_address), newIncarnation() }
    , frontendThreads(values.io_threads)
    , eventHistory(values.history_file, values.node_address, self.run.value)
    , view(std::make_shared<const fleet_view>())
{
}

node::implementation::~implementation()
{
    if (server)
        server->stopAccepting();
    frontendThreads.stop();
    control.stop();
}

void node::implementation::awaitVmList()
{
    if (settings.vm_list_address.empty())
        return;
    constexpr int attemptsPerWarning = 10;
    for (int attempt = 0;; ++attempt) {
        try {
            if (blocking_http_client().send(settings.vm_list_address, { "GET", "/vms", {}, {} }, vmListTimeout).status == 200)
                return;
        } catch (const error&) {
            // The list of vms may be down; retried below.
        }
        if (attempt % attemptsPerWarning == 0)
            log_event("waiting_for_vm_list", log_level::warning).field("address", settings.vm_list_address);
        std::this_thread::sleep_for(std::chrono::milliseconds(settings.timing->vm_list_poll_ms));
    }
}

void node::implementation::start()
{
    awaitVmList();
    startFrontend();
    std::promise<void> startupDone;
    postToControlThread([&] {
        try {
            startMesh();
            startScheduling();
            startConfiguration();
            startOrders();
            startupDone.set_value();
        } catch (...) {
            startupDone.set_exception(std::current_exception());
        }
    });
    startupDone.get_future().get();
    ready = true;
    eventHistory.record("started", { { "http", httpAddress } });
    log_event("started")
        .field("node", self.node)
        .field("http", httpAddress)
        .field("incarnation", self.run)
        .field("failure_domain", settings.failure_domain);
}

std::vector<member_update> node::implementation::liveMembers() const
{
    auto members = membership->members();
    std::erase_if(
        members, [](const member_update& member) { return member.state == member_state::dead || member.state == member_state::left; });
    for (auto& member : members)
        member.draining = member.draining || drainingPeers.contains(member.node);
    auto selfMember = membership->self();
    selfMember.draining = draining;
    members.push_back(selfMember);
    return members;
}

void node::implementation::memberChanged(const member_changed& change)
{
    const auto& member = change.member;
    if (member.node == self.node)
        return;
    if (change.before != member.state || knownIncarnations[member.node] != member.run)
        log_event("member_changed")
            .field("member", member.node)
            .field("state", memberStateNames.name(member.state))
            .field("incarnation", member.run);
    const bool hasLeftCluster = member.state == member_state::dead || member.state == member_state::left;
    const auto known = knownIncarnations.find(member.node);
    const bool replaced = known != knownIncarnations.end() && known->second.value != 0 && known->second != member.run;
    knownIncarnations[member.node] = member.run;
    if (hasLeftCluster || replaced) {
        poolManager->handleHomeFailure(std::chrono::steady_clock::now(), member.node);
        drainingPeers.erase(member.node);
    }
    if (hasLeftCluster)
        mesh->dropPeer(member.node);
    config->onPeerVersion(member.node, member.config);
    scheduleViewUpdate();
}

void node::implementation::scheduleViewUpdate()
{
    if (std::exchange(viewUpdatePending, true))
        return;
    postToControlThread([this] { updateView(); });
}

// Rebuilds the configured view only if the configuration changed or an exception expired, since applying the exceptions is slow with
// thousands of teams.
void node::implementation::refreshConfigured(std::chrono::sys_seconds utc)
{
    const auto& fold = config->fold();
    if (!fold.configuration() || (configured.version == fold.version() && utc < configuredUntil))
        return;
    configured = buildFleetView(*fold.configuration(), fold.version(), utc);
    configuredUntil = nextExpiry(*fold.configuration(), utc).value_or(std::chrono::sys_seconds::max());
}

void node::implementation::updateView()
{
    viewUpdatePending = false;
    const auto now = std::chrono::steady_clock::now();
    const auto utc = std::chrono::floor<std::chrono::seconds>(std::chrono::system_clock::now());
    refreshConfigured(utc);
    auto next = configured;
    next.members = liveMembers();
    next.leavingEndpoints = directory->leaving();
    next.draining = draining;
    next.closed = closed;

    std::set<service_id> plain;
    std::unique_lock retryLock(retryMutex);
    for (const auto& [service, policy] : next.services) {
        if (policy.definition.kind == schema::service_kind::plain)
            plain.insert(service);
        retryBudgets.try_emplace(service, policy.defaults.retry_budget_share, 1.0);
    }
    retryLock.unlock();
    directory->setPlainServices(std::move(plain));
    // Team limits are fleet-wide, and a team's callers are distributed over this many nodes.
    const auto entryNodeCount = static_cast<double>(std::min(entryAddressCount, next.members.size()));
    std::vector<team_limit> limits;
    for (const auto& [hash, policy] : next.teamsByKeyHash)
        limits.push_back({ policy.team, policy.requestsPerSecond / entryNodeCount, policy.tokensPerSecond / entryNodeCount });
    rateLimit.setLimits(limits);

    std::set<node_id> peers;
    for (const auto& member : next.members) {
        if (member.node != self.node && member.state == member_state::alive)
            peers.insert(member.node);
    }
    mesh->keepConnected(peers.size() < maxFullMesh ? peers : std::set<node_id> {});
    config->setMembers(next.members);

    const auto shared = std::make_shared<const fleet_view>(std::move(next));
    view.replace(std::make_unique<const std::shared_ptr<const fleet_view>>(shared));
    if (settings.policy == schema::scheduling_policy::pool)
        poolManager->update(now, *shared, *directory);
    dispatch->update(now, shared, *directory);
}

void node::implementation::startScheduling()
{
    const auto usesPools = settings.policy == schema::scheduling_policy::pool;
    tasks.push_back(std::make_unique<periodic_task>(
        control.context(0), schedulerTickInterval, [this] { poolManager->tick(std::chrono::steady_clock::now()); }));
    tasks.push_back(std::make_unique<periodic_task>(
        control.context(0), dispatchTickInterval, [this] { dispatch->tick(std::chrono::steady_clock::now()); }));
    tasks.push_back(std::make_unique<periodic_task>(
        control.context(0), std::chrono::milliseconds(settings.timing->progress_interval_ms), [this] { dispatch->reportProgress(); }));
    // The view is also rebuilt periodically to expire exceptions and to pick up the state announced by members.
    tasks.push_back(std::make_unique<periodic_task>(control.context(0), viewRefreshInterval, [this] {
        updateGauges();
        updateView();
    }));
    endpoint_monitor::handlers handlers;
    handlers.endpoints = [this, usesPools] {
        std::vector<endpoint_id> result;
        const auto current = *view.read();
        const auto wanted = usesPools ? poolManager->ownedEndpoints() : std::vector<endpoint_id> {};
        for (const auto& [id, entry] : directory->endpoints()) {
            const auto service = current->services.find(entry.service);
            const bool isEngine = service != current->services.end() && service->second.definition.kind == schema::service_kind::engine;
            if (isEngine && (!usesPools || std::ranges::find(wanted, id) != wanted.end()))
                result.push_back(id);
        }
        return result;
    };
    handlers.onLoad = [this](const load_report& report) {
        if (report.leaving)
            directory->markLeaving(report.endpoint);
        poolManager->observe(std::chrono::steady_clock::now(), report);
    };
    handlers.onCacheEvents = [this](const std::vector<cache_event>& events) { poolManager->observe(events); };
    monitor = std::make_unique<endpoint_monitor>(
        control.context(0), std::chrono::milliseconds(settings.timing->endpoint_poll_ms), usesPools, std::move(handlers));
    configureDirectPlacement();
}

void node::implementation::startConfiguration()
{
    std::vector<node_id> seeds;
    std::ranges::transform(settings.seeds, std::back_inserter(seeds), [](const std::string& seed) { return node_id(seed); });
    std::erase(seeds, self.node);
    membership->addSeeds(seeds);
    directory->start();
    config->start();
    updateView();
}

void node::implementation::acquire(dispatch_request request, std::size_t thread, dispatch_callback callback)
{
    const auto now = std::chrono::steady_clock::now();
    auto reply = [this, thread, callback = std::move(callback)](dispatch_decision decision) {
        frontendThreads.post(thread, [callback, decision = std::move(decision)]() mutable { callback(std::move(decision)); });
    };
    {
        const std::lock_guard lock(retryMutex);
        const auto budget = retryBudgets.find(request.service);
        if (budget != retryBudgets.end())
            budget->second.recordRequest(now);
    }
    const auto estimated = tokens(request.promptTokens.value + request.maxOutputTokens.value);
    if (const auto wait = rateLimit.tryAcquire(now, request.team, estimated)) {
        reply(refusal { 429, "team_rate_limit", "team " + request.team.value + " exceeds its rate limit", ran_state::no,
            "send fewer requests, or ask the operators to raise team_requests_per_s or team_tokens_per_s", *wait });
        return;
    }
    dispatch->acquire(now, std::move(request), std::move(reply));
}

http_response node::implementation::entry(const team_id& team, std::size_t ticketCount)
{
    const auto members = liveMembers();
    boost::json::array addresses;
    for (const auto& member : entryAddresses(team, members, entryAddressCount))
        addresses.push_back(boost::json::string(member.httpAddress));
    boost::json::array sealed;
    const auto now = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < ticketCount && !closed; ++i) {
        const auto text = tickets->issue(now, membership->self(), members);
        if (!text)
            break;
        sealed.push_back(boost::json::string(*text));
    }
    if (ticketCount > 0 && sealed.empty())
        return jsonResponse(503,
            R"({"error":{"type":"ticket_table_full","message":"the ticket table of this node is full","ran":"no","remedy":"send the request to another entry address"}})");
    return jsonResponse(200,
        boost::json::serialize(boost::json::object { { "addresses", std::move(addresses) },
            { "lifetime_ms", settings.timing->entry_lifetime_ms }, { "tickets", std::move(sealed) } }));
}

void node::implementation::beginDrain()
{
    if (std::exchange(draining, true))
        return;
    const auto now = std::chrono::steady_clock::now();
    const auto members = liveMembers();
    const bool alone
        = std::ranges::none_of(members, [this](const member_update& member) { return member.node != self.node && !member.draining; });
    // Callers use this address until their entry answer has expired and are served until then.
    closeTime = alone ? now : now + std::chrono::milliseconds(settings.timing->entry_lifetime_ms) + entryExpiryMargin;
    drainDeadline = now + std::chrono::milliseconds(settings.timing->drain_limit_ms);
    log_event("drain_begin").field("running", frontend->running()).field("alone", alone);
    eventHistory.record("drain_begin", { { "http", httpAddress } });
    membership->setDraining();
    updateView();
    tasks.push_back(std::make_unique<periodic_task>(control.context(0), drainCheckInterval, [this] { continueDrain(); }));
}

void node::implementation::continueDrain()
{
    const auto now = std::chrono::steady_clock::now();
    if (stopReported)
        return;
    if (!closed && now >= closeTime) {
        closed = true;
        log_event("drain_closed").field("running", frontend->running());
        updateView();
        return;
    }
    const bool idle = closed && frontend->running() == 0 && dispatch->pendingRequests() == 0;
    if (idle || now >= drainDeadline)
        finishDrain(idle);
}

void node::implementation::finishDrain(bool complete)
{
    stopReported = true;
    log_event("drain_end", complete ? log_level::info : log_level::warning)
        .field("complete", complete)
        .field("running", frontend->running());
    eventHistory.record("drain_end", { { "http", httpAddress }, { "complete", complete } });
    server->stopAccepting();
    membership->leave();
    usage->flush([this, complete] {
        auto timer = std::make_shared<boost::asio::steady_timer>(control.context(0), leaveGracePeriod);
        timer->async_wait([this, timer, complete](boost::system::error_code) { stopped.set_value(complete); });
    });
}

void node::implementation::updateGauges()
{
    metricsRegistry.setGauge("config_version", {}, static_cast<double>(config->fold().version().value));
    metricsRegistry.setGauge("members", {}, static_cast<double>(liveMembers().size()));
    metricsRegistry.setGauge("pending_requests", {}, static_cast<double>(dispatch->pendingRequests()));
    metricsRegistry.setGauge("peer_connections", {}, static_cast<double>(mesh->connections()));
    for (std::size_t kind = 0; kind <= static_cast<std::size_t>(wire::message::MAX); ++kind) {
        const auto name = std::string(wire::EnumNamemessage(static_cast<wire::message>(kind)));
        const auto& out = mesh->sent().at(kind);
        const auto& in = mesh->received().at(kind);
        metricsRegistry.setGauge("mesh_sent_messages", name, static_cast<double>(out.messages));
        metricsRegistry.setGauge("mesh_sent_bytes", name, static_cast<double>(out.bytes));
        metricsRegistry.setGauge("mesh_received_messages", name, static_cast<double>(in.messages));
        metricsRegistry.setGauge("mesh_received_bytes", name, static_cast<double>(in.bytes));
    }
    for (std::size_t kind = 0; kind <= static_cast<std::size_t>(wire::membership_kind::MAX); ++kind) {
        const auto name = std::string(wire::EnumNamemembership_kind(static_cast<wire::membership_kind>(kind)));
        metricsRegistry.setGauge("membership_sent_bytes", name, static_cast<double>(membership->sent().at(kind).bytes));
        metricsRegistry.setGauge("membership_sent_messages", name, static_cast<double>(membership->sent().at(kind).messages));
        metricsRegistry.setGauge("membership_received_bytes", name, static_cast<double>(membership->received().at(kind).bytes));
    }
}

node::node(const schema::daemon_settingsT& settings)
    : m_implementation(std::make_unique<implementation>(settings))
{
}

node::~node() = default;

void node::start()
{
    m_implementation->start();
}

std::string node::httpAddress() const
{
    return m_implementation->httpAddress;
}

std::string node::nodeAddress() const
{
    return m_implementation->self.node.value;
}

void node::drain()
{
    m_implementation->postToControlThread([state = m_implementation.get()] { state->beginDrain(); });
}

bool node::waitUntilStopped()
{
    return m_implementation->stopped.get_future().get();
}

} // namespace carawaylink
