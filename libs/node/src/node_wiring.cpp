#include "base/log.h"
#include "membership/ownership.h"
#include "node_state.h"
#include "wire_values.h"

#include <algorithm>
#include <ranges>

namespace carawaylink {

namespace {

duration milliseconds(std::uint32_t count)
{
    return std::chrono::milliseconds(count);
}

std::vector<key_ring::key> makeKeyRingKeys(const schema::daemon_settingsT& settings)
{
    std::vector<key_ring::key> keys;
    std::ranges::transform(settings.cluster_keys, std::back_inserter(keys), [](const auto& key) {
        return key_ring::key { key->id, key->secret };
    });
    return keys;
}

template <placement_policy Policy>
direct_placement makeDirectPlacement(Policy policy, const endpoint_directory& directory, const endpoint_monitor& monitor)
{
    return [policy, &directory, &monitor, random = random_source(randomSeed())](const service_id& service) mutable {
        std::vector<endpoint_view> candidates;
        for (const auto& [id, entry] : directory.endpoints()) {
            if (entry.service != service || !entry.described || entry.leaving)
                continue;
            const auto report = monitor.lastReport(id);
            candidates.push_back({ id, report.running, report.waiting });
        }
        return policy.choose(candidates, random);
    };
}

wire::slot_refusalT encodeRefusal(
    const request_id& request, std::string_view reason, const std::string& message, duration retryAfter, duration bestCase)
{
    wire::slot_refusalT result;
    result.request = encodeKey(request);
    result.reason = reason;
    result.message = message;
    result.retry_after_ms = encodeMilliseconds(retryAfter);
    result.best_case_ms = encodeMilliseconds(bestCase);
    return result;
}

constexpr std::string_view notOwnerReason = "not_owner";

} // namespace

void node::implementation::startMesh()
{
    const auto& timing = *settings.timing;
    const peer_identity identity { self, failure_domain(settings.failure_domain), settings.region, httpAddress };
    peer_mesh_settings meshSettings;
    meshSettings.cluster = settings.cluster;
    meshSettings.heartbeatInterval = milliseconds(timing.heartbeat_ms);
    meshSettings.receiveTimeout = milliseconds(timing.connection_silence_ms);
    meshSettings.keys = makeKeyRingKeys(settings);
    peer_mesh_handlers handlers;
    handlers.onMessage = [this](const peer_identity& from, wire::envelopeT& envelope) { receive(from, envelope); };
    handlers.onConnected = [this](const peer_identity& peer) {
        if (dispatch)
            dispatch->handleOwnerConnected(std::chrono::steady_clock::now(), peer.process.node);
    };
    handlers.onProcessEnded = [this](const process_identity& process) { membership->confirmDead(process); };
    handlers.makeHeartbeat = [this] {
        wire::heartbeatT heartbeat;
        heartbeat.config_version = config ? config->fold().version().value : 0;
        heartbeat.draining = draining;
        return heartbeat;
    };
    mesh = std::make_unique<peer_mesh>(control.context(0), identity, meshSettings, std::move(handlers));
    const auto bound = mesh->listen(settings.node_address);
    self.node = node_id(settings.advertise_address.empty() ? bound : settings.advertise_address);
    eventHistory.setNode(self.node.value);
    auto advertised = identity;
    advertised.process = self;
    mesh->setSelf(advertised);

    ticket_service_settings ticketSettings;
    ticketSettings.keys = meshSettings.keys;
    ticketSettings.homeCapacity = settings.ticket_table_size;
    ticketSettings.witnessCapacity = settings.witness_table_size;
    ticketSettings.ticketLifetime = milliseconds(timing.ticket_lifetime_ms);
    ticketSettings.answerTimeout = milliseconds(timing.intent_timeout_ms);
    tickets = std::make_unique<ticket_service>(control.context(0), self, std::move(ticketSettings), *mesh);

    pool_manager::handlers poolHandlers;
    poolHandlers.deliver = [this](const node_id& home, const scheduling_action& action) {
        const auto now = std::chrono::steady_clock::now();
        if (home == self.node) {
            // Posted, since the action may result from a call that is still modifying the request.
            postToControlThread([this, now, action] { dispatch->deliver(now, self.node, action); });
            return;
        }
        if (const auto* grant = std::get_if<slot_grant>(&action)) {
            wire::slot_grantT message;
            message.request = encodeKey(grant->request);
            message.endpoint = grant->endpoint.value;
            message.expected_cached_tokens = grant->expectedCached.value;
            message.lifetime_ms = settings.timing->grant_lifetime_ms;
            mesh->send(home, std::move(message));
        } else if (const auto* refused = std::get_if<slot_refusal>(&action)) {
            mesh->send(home,
                encodeRefusal(
                    refused->request, refusalReasonNames.name(refused->reason), refused->message, refused->retryAfter, refused->bestCase));
        } else {
            wire::slot_preemptT message;
            message.request = encodeKey(std::get<slot_preemption>(action).request);
            mesh->send(home, std::move(message));
        }
    };
    poolHandlers.rejectOwner = [this](const node_id& home, const request_id& request) {
        if (home == self.node)
            dispatch->handleOwnerRejection(std::chrono::steady_clock::now(), self.node, request);
        else
            mesh->send(home, encodeRefusal(request, notOwnerReason, "this node does not own the pool", {}, {}));
    };
    poolHandlers.requestSync = [this](const node_id& peer, const pool_id& pool) {
        wire::pool_sync_requestT message;
        message.service = pool.service.value;
        message.pool = pool.number;
        mesh->send(peer, std::move(message));
    };
    poolHandlers.pollEndpoints = [this] {
        postToControlThread([this] {
            if (monitor)
                monitor->poll();
        });
    };
    poolManager = std::make_unique<pool_manager>(
        self.node, milliseconds(timing.pool_sync_wait_ms), milliseconds(timing.grant_lifetime_ms), eventHistory, std::move(poolHandlers));
    dispatch = std::make_unique<dispatch_control>(self, *poolManager, *mesh, *tickets, eventHistory);

    endpoint_directory::handlers directoryHandlers;
    directoryHandlers.onChange = [this] { scheduleViewUpdate(); };
    directoryHandlers.onLeaving = [this](const endpoint_id& endpoint) {
        poolManager->markLeaving(endpoint);
        scheduleViewUpdate();
    };
    directoryHandlers.onNodes = [this](std::vector<node_id> nodes) {
        std::erase(nodes, self.node);
        membership->addSeeds(nodes);
    };
    directory = std::make_unique<endpoint_directory>(control.context(0),
        endpoint_directory_settings { settings.vm_list_address, milliseconds(timing.vm_list_poll_ms) }, std::move(directoryHandlers));

    config_follower_settings followerSettings;
    followerSettings.logAddress = settings.log_address;
    followerSettings.pollInterval = milliseconds(timing.log_poll_ms);
    followerSettings.snapshotInterval = milliseconds(timing.config_snapshot_ms);
    config = std::make_unique<config_follower>(
        control.context(0), self.node, followerSettings, *mesh, eventHistory, [this](const configuration_fold& fold) {
            membership->setConfigVersion(fold.version());
            updateView();
        });

    usage_publisher_settings usageSettings;
    usageSettings.logAddress = settings.log_address;
    usageSettings.flushInterval = milliseconds(timing.usage_flush_ms);
    usageSettings.compactInterval = milliseconds(timing.config_snapshot_ms);
    usage = std::make_unique<usage_publisher>(control.context(0), self, usageSettings, [this] {
        std::vector<node_id> nodes;
        std::ranges::transform(liveMembers(), std::back_inserter(nodes), &member_update::node);
        return rendezvousOwner("usage-compact", nodes) == self.node;
    });

    member_update selfMember;
    selfMember.node = self.node;
    selfMember.run = self.run;
    selfMember.domain = failure_domain(settings.failure_domain);
    selfMember.region = settings.region;
    selfMember.httpAddress = httpAddress;
    failure_detector_settings detector;
    detector.probeInterval = milliseconds(timing.probe_interval_ms);
    detector.probeTimeout = milliseconds(timing.probe_timeout_ms);
    detector.suspicionTimeout = milliseconds(timing.suspicion_ms);
    membership = std::make_unique<membership_transport>(
        control.context(0), settings.cluster, meshSettings.keys, [this](const member_changed& change) { memberChanged(change); });
    membership->start(bound, selfMember, detector);
}

void node::implementation::configureDirectPlacement()
{
    switch (settings.policy) {
    case schema::scheduling_policy::pool:
        break;
    case schema::scheduling_policy::round_robin:
        dispatch->setDirectPlacement(makeDirectPlacement(round_robin_policy {}, *directory, *monitor));
        break;
    case schema::scheduling_policy::least_load:
        dispatch->setDirectPlacement(makeDirectPlacement(least_load_policy {}, *directory, *monitor));
        break;
    case schema::scheduling_policy::power_of_two:
        dispatch->setDirectPlacement(makeDirectPlacement(power_of_two_policy {}, *directory, *monitor));
        break;
    }
}

void node::implementation::receive(const peer_identity& from, wire::envelopeT& envelope)
{
    const auto now = std::chrono::steady_clock::now();
    const auto& peer = from.process.node;
    auto& body = envelope.body;
    if (const auto* heartbeat = body.Asheartbeat()) {
        config->onPeerVersion(peer, config_version(heartbeat->config_version));
        if (heartbeat->draining && drainingPeers.insert(peer).second)
            scheduleViewUpdate();
    } else if (const auto* request = body.Asslot_request()) {
        poolManager->submit(now, { service_id(request->service), request->pool }, decodeSlotRequest(*request, peer, now));
    } else if (const auto* grant = body.Asslot_grant()) {
        dispatch->deliver(now, peer,
            slot_grant { decodeKey(grant->request), self.node, endpoint_id(grant->endpoint), tokens(grant->expected_cached_tokens), {} });
    } else if (const auto* refused = body.Asslot_refusal()) {
        const auto id = decodeKey(refused->request);
        if (refused->reason == notOwnerReason)
            dispatch->handleOwnerRejection(now, peer, id);
        else
            dispatch->deliver(now, peer,
                slot_refusal { id, self.node, refusalReasonNames.parse(refused->reason).value_or(refusal_reason::unavailable),
                    refused->message, milliseconds(refused->retry_after_ms), milliseconds(refused->best_case_ms) });
    } else if (const auto* preempt = body.Asslot_preempt()) {
        dispatch->deliver(now, peer, slot_preemption { decodeKey(preempt->request), self.node });
    } else if (const auto* cancel = body.Asslot_cancel()) {
        poolManager->cancel(now, peer, decodeKey(cancel->request));
    } else if (const auto* progress = body.Asslot_progress()) {
        std::vector<slot_progress> entries;
        for (const auto& entry : progress->entries)
            entries.push_back({ decodeKey(entry->request), tokens(entry->output_tokens), milliseconds(entry->first_token_ms) });
        poolManager->handleProgress(now, peer, entries);
    } else if (const auto* release = body.Asslot_release()) {
        slot_release report;
        report.request = decodeKey(release->request);
        report.outcome = releaseOutcomeNames.parse(release->outcome).value_or(release_outcome::failed);
        report.promptTokens = tokens(release->prompt_tokens);
        report.cachedTokens = tokens(release->cached_tokens);
        report.outputTokens = tokens(release->output_tokens);
        report.timeToFirstToken = milliseconds(release->first_token_ms);
        report.total = milliseconds(release->duration_ms);
        report.endpointLeaving = release->endpoint_leaving;
        poolManager->release(now, report);
    } else if (const auto* syncRequest = body.Aspool_sync_request()) {
        dispatch->sendSync(now, peer, { service_id(syncRequest->service), syncRequest->pool });
    } else if (const auto* sync = body.Aspool_sync()) {
        std::vector<scheduling_request> waiting;
        std::vector<std::tuple<scheduling_request, endpoint_id, tokens>> outstanding;
        for (const auto& entry : sync->waiting)
            waiting.push_back(decodeSlotRequest(*entry, peer, now));
        for (const auto& entry : sync->outstanding) {
            if (entry->request)
                outstanding.emplace_back(
                    decodeSlotRequest(*entry->request, peer, now), endpoint_id(entry->endpoint), tokens(entry->output_tokens));
        }
        poolManager->sync(now, peer, { service_id(sync->service), sync->pool }, std::move(waiting), std::move(outstanding), !sync->more);
    } else if (const auto* intent = body.Asticket_intent()) {
        tickets->receive(from, *intent);
    } else if (const auto* intentAnswer = body.Asticket_intent_answer()) {
        tickets->receive(*intentAnswer);
    } else if (const auto* query = body.Asticket_query()) {
        tickets->receive(from, *query);
    } else if (const auto* queryAnswer = body.Asticket_query_answer()) {
        tickets->receive(*queryAnswer);
    } else if (const auto* configRequest = body.Asconfig_request()) {
        config->receive(from, *configRequest);
    } else if (const auto* snapshot = body.Asconfig_snapshot()) {
        config->receive(from, *snapshot);
    }
}

control_interface node::implementation::makeControlInterface()
{
    control_interface calls;
    calls.acquire = [this](dispatch_request request, std::size_t thread, dispatch_callback callback) {
        postToControlThread([this, request = std::move(request), thread, callback = std::move(callback)]() mutable {
            acquire(std::move(request), thread, std::move(callback));
        });
    };
    calls.withdraw = [this](const request_id& request) {
        postToControlThread([this, request] { dispatch->withdraw(std::chrono::steady_clock::now(), request); });
    };
    calls.finished = [this](const slot_release& release, std::optional<stored_response> response) {
        postToControlThread([this, release, response = std::move(response)]() mutable {
            dispatch->finished(std::chrono::steady_clock::now(), release, std::move(response));
        });
    };
    calls.endpointLeaving
        = [this](const endpoint_id& endpoint) { postToControlThread([this, endpoint] { directory->markLeaving(endpoint); }); };
    calls.tryRetry = [this](const service_id& service) {
        const std::lock_guard lock(retryMutex);
        const auto budget = retryBudgets.find(service);
        return budget != retryBudgets.end() && budget->second.tryRetry(std::chrono::steady_clock::now());
    };
    calls.account = [this](const team_id& team, tier level, const slot_release& release) {
        postToControlThread([this, team, level, release] { usage->ledger().add(team, level, release); });
    };
    calls.entry = [this](const team_id& team, std::size_t count, std::size_t thread, std::function<void(http_response)> callback) {
        postToControlThread([this, team, count, thread, callback = std::move(callback)] {
            frontendThreads.post(thread, [callback, response = entry(team, count)]() mutable { callback(std::move(response)); });
        });
    };
    calls.admin = [this](http_request request, std::size_t thread, std::function<void(http_response)> callback) {
        postToControlThread([this, request = std::move(request), thread, callback = std::move(callback)] {
            admin(request, [this, thread, callback](http_response response) {
                frontendThreads.post(thread, [callback, response = std::move(response)]() mutable { callback(std::move(response)); });
            });
        });
    };
    return calls;
}

void node::implementation::startOrders()
{
    order_driver_settings driverSettings;
    driverSettings.logAddress = settings.log_address;
    orders = std::make_unique<order_driver>(control.context(0), order_holder { self.node, self.run }, driverSettings, [this] {
        const auto current = *view.read();
        std::map<service_id, order_driver::owned_service> owned;
        for (const auto& [service, policy] : current->services) {
            const auto& definition = policy.definition;
            desired_engine desired { definition.models, definition.adapters, definition.version, definition.role };
            if (definition.kind != schema::service_kind::engine || desired == desired_engine {}
                || poolOwner({ service, 0 }, current->members) != self.node)
                continue;
            owned[service] = { std::move(desired), definition.ignores_fencing, policy.defaults.weight_store_loads, {} };
        }
        for (const auto& [id, entry] : directory->endpoints()) {
            if (const auto found = owned.find(entry.service); found != owned.end())
                found->second.endpoints[id] = entry.leaving;
        }
        return owned;
    });
}

void node::implementation::startFrontend()
{
    request_frontend_settings frontendSettings;
    frontendSettings.requestOrigin = self.run.value;
    frontendSettings.streamIdleTimeout = milliseconds(settings.timing->stream_idle_ms);
    std::ranges::transform(
        settings.operator_keys, std::back_inserter(frontendSettings.operatorKeyHashes), [](const auto& key) { return key->sha256; });
    frontend = std::make_unique<request_frontend>(frontendThreads, view, frontendSettings, makeControlInterface(), metricsRegistry);
    const auto& values = *settings.limits;
    http_server_limits limits;
    limits.maxHeaderBytes = values.max_header_bytes;
    limits.maxBodyBytes = values.max_body_bytes;
    limits.headerTimeout = milliseconds(values.header_timeout_ms);
    limits.bodyTimeout = milliseconds(values.body_timeout_ms);
    limits.writeTimeout = milliseconds(values.write_timeout_ms);
    limits.idleTimeout = milliseconds(values.idle_timeout_ms);
    limits.maxConnections = values.max_connections;
    server
        = std::make_unique<http_server>(frontendThreads, limits, [this](http_request request, std::shared_ptr<http_responder> responder) {
              if (!ready) {
                  responder->send(jsonResponse(503,
                      R"({"error":{"type":"starting","message":"this node is starting","ran":"no","remedy":"send the request again"}})"));
                  return;
              }
              frontend->handle(std::move(request), std::move(responder));
          });
    httpAddress = server->listen(settings.http_address);
}

} // namespace carawaylink
