#include "request_dispatcher.h"

#include "base/time.h"
#include "exchange.h"
#include "placement_query.h"

#include <algorithm>
#include <set>
#include <utility>

namespace carawaylink::gateway {

namespace {

constexpr unsigned statusUnauthorized = 401;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusTooManyRequests = 429;
constexpr unsigned statusUnavailable = 503;
constexpr auto notReadyRetryAfter = std::chrono::milliseconds(500);
// Of a stream whose version the store does not tell now.
constexpr auto unknownVersionRetryAfter = std::chrono::milliseconds(700);
constexpr auto maxQuotaRetryAfter = std::chrono::seconds(5);
// Retry-After of requests refused while the node drains, and lower bound of the Retry-After of an exceeded quota.
constexpr auto minRetryAfter = std::chrono::milliseconds(50);
// Applies if neither the caller nor the route sets a deadline.
constexpr auto defaultTimeLeft = std::chrono::seconds(30);
// Half of all responses exceed the caller's estimate.
constexpr double outputEstimateFactor = 1.3;
constexpr std::int64_t defaultOutputTokens = 256;
// A draining node admits streams only for this long; later ones could be cut off by the end of the process.
constexpr auto streamAdmissionTime = std::chrono::milliseconds(2500);
// Other requests must be able to complete this long before the process ends.
constexpr auto drainMargin = std::chrono::milliseconds(300);

// A response that is not a stream and names no tokens has no events that take time after the first one.
tokens expectedOutput(const request_metadata& metadata, bool isStream)
{
    const auto limit = metadata.outputLimit.value_or(tokens { isStream ? defaultOutputTokens : 0 });
    if (!metadata.outputHint)
        return limit;
    const auto expected = static_cast<std::int64_t>(outputEstimateFactor * static_cast<double>(metadata.outputHint->value));
    return tokens { std::min(limit.value, expected) };
}

double quotaUnits(const routing::team_definition& team, const request_metadata& metadata)
{
    if (!team.unitsAreTokens)
        return 1;
    if (!metadata.prompt)
        return team.defaultUnits;
    return static_cast<double>(metadata.prompt->value + metadata.outputLimit.value_or(tokens { 0 }).value);
}

} // namespace

http_response refusalResponse(unsigned status, std::string_view reason, std::optional<duration> retryAfter)
{
    std::string body = R"({"error":{"type":")";
    body.append(reason).append(R"("}})");
    auto response = jsonResponse(status, std::move(body));
    if (retryAfter) {
        std::ostringstream seconds;
        seconds << inSeconds(*retryAfter);
        response.headers.push_back({ "Retry-After", seconds.str() });
    }
    return response;
}

request_dispatcher::request_dispatcher(boost::asio::io_context& context, const gateway_settings& settings, const protocol_codec& codec,
    http_client& client, decision_log& log, gateway_metrics& metrics)
    : m_settings(settings)
    , m_codec(codec)
    , m_client(client)
    , m_log(log)
    , m_metrics(metrics)
    , m_random(randomSeed())
    , m_self(settings.peerAddress)
    , m_slots(context, m_self, settings.domain, log, m_random())
    , m_streams(m_self, log, metrics, [this](const node_id& node, peer::envelopeT message) { send(node, std::move(message)); })
    , m_quotas(m_self, m_random(), settings.isFirstStart, settings.quotaWindow, std::chrono::steady_clock::now(),
          [this](const node_id& node, peer::envelopeT message) { send(node, std::move(message)); })
    , m_quarantine(m_self, log, [this](const node_id& node, peer::envelopeT message) { send(node, std::move(message)); })
    , m_crashes(context,
          [this](const discovery::replica_id& replica, const service_id& service, const lost_requests& lost) {
              // An endpoint that refuses connections may have lost its path to this node only.
              if (!isPathDoubtful(service))
                  m_quarantine.recordCrash(service, replica, lost.unansweredParts, std::chrono::steady_clock::now(), lost.requests);
          })
    , m_context(context)
    , m_alive(std::make_shared<request_dispatcher*>(this))
    , m_noMembers(m_self, 0, std::chrono::steady_clock::now())
{
    setPeerHandlers([](const node_id&, const peer::envelopeT&) {}, [](const node_id&) {});
    m_quarantine.setOnQuarantined([this] { endQuarantined(); });
    m_quarantine.setOnProbeDecided([this](std::uint64_t id, bool isGranted) { onProbeDecided(id, isGranted); });
}

request_dispatcher::~request_dispatcher() = default;

void request_dispatcher::handle(http_request request, std::shared_ptr<http_responder> responder)
{
    admit(std::move(request), std::move(responder), {});
}

void request_dispatcher::reject(
    http_responder& responder, const std::string& attempt, unsigned status, std::string_view reason, std::optional<duration> retryAfter)
{
    m_log.event("request_rejected")
        .field("request", attempt)
        .field("status", status)
        .field("reason", reason)
        .field("configuration", version());
    m_metrics.requestEnded(tier { 0 }, reason);
    responder.send(refusalResponse(status, reason, retryAfter));
}

request_dispatcher::held_request::held_request(http_request asked, std::shared_ptr<http_responder> caller, std::string id,
    preliminary_decisions decided, memory_budget* memory, std::function<void()> endForMemory)
    : request(std::move(asked))
    , responder(std::move(caller))
    , attempt(std::move(id))
    , decisions(std::move(decided))
    , held(memory, "held_request", std::move(endForMemory))
{
    held.set(request.body.size());
}

void request_dispatcher::bindStream(http_request request, std::shared_ptr<http_responder> responder, const request_metadata& metadata,
    const routing::route& route, monotonic_time now)
{
    const auto id = m_nextId++;
    m_waitingForVersion.try_emplace(id, std::move(request), std::move(responder), metadata.attempt, preliminary_decisions {}, m_memory,
        [this, id, resumed = metadata.resumedAttempt] { onStreamFound(id, resumed, 0, {}); });
    const auto stream = stream_versions::idOf(metadata.resumedAttempt);
    m_streams.find(
        stream, routing::chooseService(route, m_random()),
        [this, id, resumed = metadata.resumedAttempt, last = metadata.lastEventId.value_or(0)](
            const stream_binding& binding) { onStreamFound(id, resumed, last, binding); },
        now);
}

void request_dispatcher::onStreamFound(
    std::uint64_t id, const std::string& resumedAttempt, std::uint64_t lastEvent, const stream_binding& binding)
{
    auto decided = m_waitingForVersion.extract(id);
    if (!decided)
        return;
    auto& held = decided.mapped();
    const auto software = binding.software.value_or(streams::software_version {});
    m_log.event("stream_taken_up", versionSourceNames.name(binding.source))
        .field("request", held.attempt)
        .field("resumes", resumedAttempt)
        .field("after_event", lastEvent)
        .field("service", software.service)
        .field("version", software.version)
        .field("known_from", versionSourceNames.name(binding.source))
        .field("age_ms", wholeMilliseconds(binding.age))
        .field("endpoints", m_streams.endpointsOf(software));
    m_metrics.streamTakenUp(versionSourceNames.name(binding.source));
    if (held.responder->closed())
        return;
    if (!binding.software) {
        reject(*held.responder, held.attempt, statusUnavailable, "stream_version_unknown", unknownVersionRetryAfter);
        return;
    }
    if (m_streams.endpointsOf(software) == 0) {
        reject(*held.responder, held.attempt, statusUnavailable, "stream_version_gone", std::nullopt);
        return;
    }
    held.decisions.software = software;
    admit(std::move(held.request), std::move(held.responder), std::move(held.decisions));
}

void request_dispatcher::askForProbe(http_request request, std::shared_ptr<http_responder> responder, const std::string& attempt,
    preliminary_decisions decisions, const prompt_quarantine::parts& probed, monotonic_time now)
{
    const auto id = m_nextId++;
    m_waitingForProbe.try_emplace(
        id, std::move(request), std::move(responder), attempt, std::move(decisions), m_memory, [this, id] { onProbeDecided(id, false); });
    if (!m_quarantine.askForProbe(id, probed, now))
        onProbeDecided(id, false);
}

void request_dispatcher::onProbeDecided(std::uint64_t id, bool isGranted)
{
    if (auto decided = m_waitingForProbe.extract(id)) {
        auto& candidate = decided.mapped();
        m_metrics.promptProbe(isGranted ? "granted" : "refused");
        candidate.decisions.probe = id;
        if (isGranted && !candidate.responder->closed())
            admit(std::move(candidate.request), std::move(candidate.responder), std::move(candidate.decisions));
        else
            reject(*candidate.responder, candidate.attempt, statusUnavailable, "quarantined_prompt", m_quarantine.probeInterval());
    }
    // The request was refused for another reason, or its caller has left.
    if (isGranted && !m_exchanges.contains(id))
        m_quarantine.endProbe(id);
}

void request_dispatcher::admit(http_request request, std::shared_ptr<http_responder> responder, preliminary_decisions decisions)
{
    const auto now = std::chrono::steady_clock::now();
    auto metadata = m_codec.decodeRequest(request);
    const auto refuse = [&](unsigned status, std::string_view reason, std::optional<duration> retryAfter) {
        reject(*responder, metadata.attempt, status, reason, retryAfter);
    };
    if (!m_routes) {
        refuse(statusUnavailable, "no_configuration", notReadyRetryAfter);
        return;
    }
    if (m_isPathLost) {
        refuse(statusUnavailable, "no_path_to_endpoints", minRetryAfter);
        return;
    }
    const auto* route = m_routes->find(request.header("Host").value_or(""), request.target);
    if (!route || route->services.empty()) {
        refuse(statusNotFound, "no_route", std::nullopt);
        return;
    }
    const routing::team_definition* team = nullptr;
    if (m_routes->needsKey(*route)) {
        team = metadata.key.empty() ? nullptr : m_routes->teamOf(metadata.key);
        if (!team) {
            refuse(statusUnauthorized, "unknown_key", std::nullopt);
            return;
        }
    }
    // A caller without any event has no stream to take up.
    const bool hasEvents = metadata.lastEventId.value_or(0) > 0 || !metadata.resumedAttempt.empty();
    const bool takesUp = hasEvents && route->mayGoOnElsewhere();
    if (takesUp && !decisions.software) {
        bindStream(std::move(request), std::move(responder), metadata, *route, now);
        return;
    }
    if (takesUp && !routing::usesService(*route, decisions.software->service)) {
        refuse(statusUnavailable, "stream_version_gone", std::nullopt);
        return;
    }
    admitted_request admitted;
    admitted.id = decisions.probe ? *decisions.probe : m_nextId++;
    admitted.isProbe = decisions.probe.has_value();
    admitted.route = *route;
    admitted.configuration = version();
    admitted.arrived = now;
    auto timeLeft = metadata.timeLeft.value_or(defaultTimeLeft);
    if (route->timeout > duration {})
        timeLeft = std::min(timeLeft, route->timeout);
    admitted.responseDeadline = now + timeLeft;
    admitted.prompt = metadata.prompt.value_or(tokens { 0 });
    admitted.expectedOutput = expectedOutput(metadata, route->streaming);
    admitted.service = takesUp ? decisions.software->service : routing::chooseService(*route, m_random());
    if (takesUp)
        admitted.streamVersion = decisions.software->version;
    if (m_drainDeadline
        && (route->streaming ? now > m_drainStartedAt + streamAdmissionTime : admitted.responseDeadline + drainMargin > *m_drainDeadline)) {
        refuse(statusUnavailable, "stopping", minRetryAfter);
        return;
    }
    if (pathTo(admitted.service).state() == path_state::lost) {
        refuse(statusUnavailable, "no_path_to_endpoints", minRetryAfter);
        return;
    }
    admitted.promptParts = placement::significantParts(metadata.promptParts);
    admitted.sharedParts = prompt_quarantine::partsOf(admitted.service, metadata.sharedParts);
    admitted.identity = prompt_quarantine::identityOf(admitted.service, request, team ? team->name.value : metadata.key);
    const auto guarded = admitted.guardedParts();
    if (const auto remaining = m_quarantine.remaining(guarded, now)) {
        logQuarantined(metadata, guarded, now);
        refuse(statusUnavailable, "quarantined_prompt", *remaining);
        return;
    }
    if (const auto probed = m_quarantine.onProbation(guarded, now); !probed.empty() && !decisions.probe) {
        logQuarantined(metadata, guarded, now);
        askForProbe(std::move(request), std::move(responder), metadata.attempt, std::move(decisions), probed, now);
        return;
    }
    if (team) {
        admitted.teamTier = team->tier.value_or(tier { 0 });
        admitted.team = team->name;
        admitted.quotaUnits = quotaUnits(*team, metadata);
        if (!m_quotas.reserve(team->name, admitted.quotaUnits, admitted.route.tier, m_fleet, now)) {
            logQuotaExceeded(metadata.attempt, *team, admitted.quotaUnits, admitted.route.tier, now);
            const auto wait = m_quotas.timeUntilAvailable(team->name, admitted.quotaUnits, admitted.route.tier, m_fleet, now);
            refuse(statusTooManyRequests, "quota", std::clamp<duration>(wait, minRetryAfter, maxQuotaRetryAfter));
            return;
        }
    }
    admitted.metadata = std::move(metadata);
    admitted.request = std::move(request);
    retryBudget(admitted.service).countRequest(now);
    const auto id = admitted.id;
    const auto running = std::make_shared<exchange>(*this, std::move(admitted), std::move(responder));
    m_exchanges.emplace(id, running);
    running->start();
}

void request_dispatcher::logQuarantined(const request_metadata& metadata, const prompt_quarantine::parts& parts, monotonic_time now)
{
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const auto remaining = m_quarantine.remaining({ parts[i] }, now);
        if (!remaining && m_quarantine.onProbation({ parts[i] }, now).empty())
            continue;
        m_log.event("prompt_quarantined")
            .field("request", metadata.attempt)
            .field("shared_part", i < metadata.sharedParts.size() ? metadata.sharedParts[i] : "none")
            .field("part", prompt_quarantine::logName(parts[i]))
            .field("remaining_ms", wholeMilliseconds(remaining.value_or(duration {})));
    }
}

void request_dispatcher::logQuotaExceeded(
    const std::string& attempt, const routing::team_definition& team, double units, tier level, monotonic_time now)
{
    const auto need = m_quotas.requirementFor(team.name, units, level, m_fleet, now);
    m_log.event("quota_exceeded")
        .field("request", attempt)
        .field("team", team.name)
        .field("units", units)
        .field("tier", level.value + 0)
        .field("needed", need.requiredUnits)
        .field("available", need.availableUnits)
        .field("left", m_quotas.remaining(team.name, now))
        .field("rate_per_s", team.ratePerSecond)
        .field("burst", team.burst)
        .field("reporting_nodes", m_fleet.reachable)
        .field("possible_nodes", m_fleet.possible);
}

bool request_dispatcher::setConfiguration(routing::fleet_configuration configuration)
{
    if (m_routes && configuration.version <= m_routes->configuration().version)
        return false;
    const auto now = std::chrono::steady_clock::now();
    m_routes = std::make_shared<const routing::route_table>(std::move(configuration));
    const auto& current = m_routes->configuration();
    for (const auto& team : current.teams)
        m_quotas.configure(team, now);
    for (const auto& defined : current.services) {
        placement::pool_limits limits;
        if (defined.engine) {
            limits.memory = defined.engine->cacheCapacity;
            limits.tokensPerEvent = defined.engine->tokensPerEvent;
        }
        m_slots.setLimits(defined.name, limits);
    }
    m_streams.setServices(routing::resumableServices(current));
    m_log.event("configuration_in_force")
        .field("version", current.version)
        .field("routes", current.routes.size())
        .field("teams", current.teams.size());
    m_metrics.setConfiguration(current.version);
    return true;
}

config_version request_dispatcher::version() const
{
    return m_routes ? m_routes->configuration().version : config_version {};
}

void request_dispatcher::setEndpoints(const std::map<discovery::replica_id, discovery::endpoint_record>& records)
{
    streams::base_versions::endpoints_by_service byService;
    std::map<service_id, std::vector<endpoint_id>> accepting;
    for (const auto& [name, path] : m_paths)
        accepting[name];
    for (const auto& [id, record] : records) {
        byService[record.service].push_back(record);
        if (!record.draining)
            accepting[record.service].push_back(record.address);
    }
    for (auto& [name, addresses] : accepting)
        pathTo(name).setEndpoints(std::move(addresses));
    m_streams.setEndpoints(byService, std::chrono::steady_clock::now());
    m_slots.setEndpoints(records);
}

void request_dispatcher::setPeerHandlers(
    std::function<void(const node_id&, peer::envelopeT)> send, std::function<void(const node_id&)> onOwnerSilent)
{
    m_send = std::move(send);
    m_slots.setHandlers(
        { m_send, [this](const service_id& service, const placement::pool_decisions& decisions) { apply(service, decisions); },
            std::move(onOwnerSilent), [this](const placement::admission_counts& counts) { m_metrics.admissions(counts); } });
}

void request_dispatcher::setMembers(const fleet_members& members)
{
    m_members = &members;
    m_fleet = members.size(std::chrono::steady_clock::now());
    m_slots.setMembers(members.serving(), m_fleet.rank);
}

void request_dispatcher::restoreQuotaMarks(const std::vector<store_record>& records)
{
    std::set<team_id> teams;
    for (const auto& record : records) {
        if (record.value)
            teams.insert(team_id { record.key });
    }
    m_quotas.restoreMarks(std::move(teams), std::chrono::steady_clock::now());
}

void request_dispatcher::restoreQuarantine(const std::vector<store_record>& records)
{
    m_quarantine.restore(records, std::chrono::steady_clock::now());
}

void request_dispatcher::rewriteQuarantine(const std::vector<store_record>& records)
{
    m_quarantine.rewrite(records, *m_members, std::chrono::steady_clock::now());
}

void request_dispatcher::removeNode(const node_id& node)
{
    m_slots.removeNode(node);
    m_quotas.removeNode(node);
}

void request_dispatcher::send(const node_id& node, peer::envelopeT message)
{
    if (node == m_self)
        receive(node, message);
    else
        m_send(node, std::move(message));
}

bool request_dispatcher::receive(const node_id& sender, const peer::envelopeT& message)
{
    const auto now = std::chrono::steady_clock::now();
    if (const auto* call = message.body.Asslot_call())
        m_slots.receive(sender, *call);
    else if (const auto* reply = message.body.Asslot_reply())
        m_slots.receive(sender, *reply);
    else if (const auto* report = message.body.Asquota_report())
        m_quotas.receive(sender, *report, now);
    else if (const auto* totals = message.body.Asquota_totals())
        m_quotas.receive(sender, *totals, now);
    else if (const auto* query = message.body.Aspath_query())
        answerPathQuery(sender, service_id { query->service });
    else if (const auto* answer = message.body.Aspath_reply())
        pathTo(service_id { answer->service }).recordPeer();
    else if (!m_streams.receive(sender, message, now))
        return m_quarantine.receive(sender, message, now);
    return true;
}

void request_dispatcher::beginDrain(monotonic_time until)
{
    m_drainStartedAt = std::chrono::steady_clock::now();
    m_drainDeadline = until;
}

void request_dispatcher::tick()
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<std::shared_ptr<exchange>> running;
    running.reserve(m_exchanges.size());
    for (const auto& [id, entry] : m_exchanges)
        running.push_back(entry);
    for (const auto& entry : running) {
        if (m_drainDeadline && now >= *m_drainDeadline)
            entry->terminate();
        else
            entry->tick(now);
    }
    m_fleet = m_members->size(now);
    m_quotas.tick(*m_members, now);
    m_quarantine.tick(*m_members, now);
    m_streams.tick(*m_members, now);
    updatePaths(now);
    m_metrics.setWaiting(m_slots.waitingCount());
    m_slots.tick();
    m_metrics.setActive(m_exchanges.size());
}

void request_dispatcher::updateGauges()
{
    const auto now = std::chrono::steady_clock::now();
    m_metrics.setQuarantinedParts(m_quarantine.size(now), m_quarantine.sizeOnProbation(now));
    m_metrics.setLimitedEndpoints(m_slots.limitedCount());
    const auto notices = m_slots.noticeCounts();
    m_metrics.setLeavingEndpoints(notices.leaving);
    m_metrics.setRestingEndpoints(notices.resting);
    m_metrics.setReuse(m_slots.reuse());
    m_metrics.setMarkedTeams(m_quotas.markedTeams());
}

http_response request_dispatcher::answerPlacementQuery(const http_request& query) const
{
    return gateway::answerPlacementQuery(query, m_slots, m_self);
}

void request_dispatcher::releaseUnknownSlots()
{
    m_slots.releaseUnknown([this](std::uint64_t id) { return m_exchanges.contains(id); });
}

limits::retry_budget& request_dispatcher::retryBudget(const service_id& name)
{
    return m_retryBudgets.try_emplace(name, limits::retry_budget(m_settings.retryRatio, m_settings.retrySlack, m_settings.retryWindow))
        .first->second;
}

void request_dispatcher::submit(const std::shared_ptr<exchange>& source, placement::waiting_request request)
{
    if (m_routeMarker)
        request.route = m_routeMarker(source->service(), source->admitted().route.name);
    m_slots.submit(source->service(), std::move(request));
}

void request_dispatcher::apply(const service_id& service, const placement::pool_decisions& decisions)
{
    for (const auto& granted : decisions.grants) {
        if (const auto running = findExchange(granted.id, "grant"))
            running->onGranted(granted);
        else
            m_slots.recordOutcome(service, granted.id, placement::outcome::cancelled, 0);
    }
    std::ranges::for_each(decisions.declined, [this](const placement::declined_grant& declined) { logDeclined(declined); });
    std::ranges::for_each(decisions.waitReports, [this](const placement::wait_report& wait) { logWait(wait); });
    for (const auto& refused : decisions.refusals) {
        if (const auto running = findExchange(refused.id, "refusal"))
            running->onRefused(refused);
    }
}

// An exchange withdraws its request when it ends, so that each decision finds one.
std::shared_ptr<exchange> request_dispatcher::findExchange(std::uint64_t id, std::string_view decision)
{
    const auto found = m_exchanges.find(id);
    if (found != m_exchanges.end())
        return found->second;
    m_log.event("decision_unexpected", decision).field("id", id).field("decision", decision).field("state", "ended");
    m_metrics.unexpectedDecision(decision);
    return nullptr;
}

void request_dispatcher::logDeclined(const placement::declined_grant& declined)
{
    const auto found = m_exchanges.find(declined.id);
    if (found == m_exchanges.end())
        return;
    m_log.event("grant_declined")
        .field("request", found->second->admitted().metadata.attempt)
        .field("replica", declined.replica)
        .field("reason", placement::unusableReasonNames.name(declined.reason));
}

void request_dispatcher::logWait(const placement::wait_report& wait)
{
    const auto found = m_exchanges.find(wait.id);
    if (found == m_exchanges.end())
        return;
    const auto& admitted = found->second->admitted();
    const auto notices = noticeCounts(admitted.service);
    m_log.event("request_waits")
        .field("request", admitted.metadata.attempt)
        .field("team_tier", admitted.teamTier.value + 0)
        .field("tier", admitted.route.tier.value + 0)
        .field("prompt_tokens", admitted.prompt)
        .field("waited_ms", wholeMilliseconds(wait.waited))
        .field("ahead", wait.ahead)
        .field("unusable", wait.unusable)
        .field("full", wait.full)
        .field("busy_reading", wait.prefillBusy)
        .field("too_slow", wait.tooSlow)
        .field("leaving", notices.leaving)
        .field("resting", notices.resting);
}

void request_dispatcher::withdraw(const exchange& source)
{
    m_slots.withdraw(source.service(), source.id());
}

void request_dispatcher::recordProgress(const exchange& source, std::size_t events)
{
    m_slots.recordProgress(source.service(), source.id(), events);
}

void request_dispatcher::finishAttempt(const exchange& source, placement::outcome result, std::size_t events)
{
    m_slots.recordOutcome(source.service(), source.id(), result, events);
}

void request_dispatcher::recordRequestLimit(
    const exchange& source, const placement::grant& grant, std::optional<double> perSecond, monotonic_time sentAt)
{
    m_slots.recordRequestLimit(source.service(), grant.replica, perSecond, sentAt);
}

void request_dispatcher::recordNotice(const exchange& source, const placement::grant& grant, const response_metadata& answer)
{
    if (answer.isLeaving)
        m_slots.recordLeaving(source.service(), grant.replica);
    if (answer.rest > duration {})
        m_slots.recordRest(source.service(), grant.replica, answer.rest);
    if (!answer.unreadableRest)
        return;
    m_log.event("endpoint_rest_unreadable")
        .field("request", source.admitted().metadata.attempt)
        .field("replica", grant.replica)
        .field("value", '"' + *answer.unreadableRest + '"');
    m_metrics.unreadableRest();
}

duration request_dispatcher::firstEventTimeout(const exchange& source) const
{
    return m_slots.firstEventTimeout(source.service(), source.id());
}

bool request_dispatcher::tryTakeRetry(const service_id& name)
{
    return retryBudget(name).takeRetry(m_fleet.possible, std::chrono::steady_clock::now());
}

void request_dispatcher::recordAnswer(const exchange& source)
{
    const auto now = std::chrono::steady_clock::now();
    m_quarantine.recordAnswer(source.admitted().sharedParts, now);
    if (m_quarantine.recordProbeAnswer(source.id(), now))
        m_metrics.promptProbe("answered");
}

bool request_dispatcher::isQuarantined(const exchange& source) const
{
    return m_quarantine.remaining(source.admitted().guardedParts(), std::chrono::steady_clock::now()).has_value();
}

// An answer that has begun says that its endpoint survived the prompt, not that it survives the request.
void request_dispatcher::recordCompletion(const exchange& source)
{
    m_quarantine.recordAnswer({ source.admitted().identity }, std::chrono::steady_clock::now());
}

void request_dispatcher::recordLoss(const exchange& source, const placement::grant& grant, bool hasBegunToAnswer)
{
    lost_requests lost { {}, { source.admitted().identity } };
    if (!hasBegunToAnswer)
        lost.unansweredParts = source.admitted().sharedParts;
    m_crashes.recordLoss(grant.replica, grant.address, source.service(), lost);
}

void request_dispatcher::endQuarantined()
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<std::pair<std::shared_ptr<exchange>, duration>> ended;
    for (const auto& [id, entry] : m_exchanges) {
        if (const auto remaining = m_quarantine.remaining(entry->admitted().guardedParts(), now))
            ended.emplace_back(entry, *remaining);
    }
    for (const auto& [entry, remaining] : ended)
        entry->endUnanswered("quarantined_prompt", remaining);
}

void request_dispatcher::commitQuota(const team_id& team, double units)
{
    m_quotas.commit(team, units, std::chrono::steady_clock::now());
}

void request_dispatcher::releaseQuota(const team_id& team, double units)
{
    m_quotas.release(team, units);
}

void request_dispatcher::onExchangeEnded(const exchange& source)
{
    m_quarantine.endProbe(source.id());
    m_exchanges.erase(source.id());
}

} // namespace carawaylink::gateway
