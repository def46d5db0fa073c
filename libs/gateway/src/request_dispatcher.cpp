#include "request_dispatcher.h"

#include "exchange.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <xxhash.h>

namespace carawaylink::gateway {

namespace {

constexpr unsigned statusUnauthorized = 401;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusTooManyRequests = 429;
constexpr unsigned statusUnavailable = 503;
constexpr auto notReadyRetryAfter = std::chrono::milliseconds(500);
constexpr auto maxQuotaRetryAfter = std::chrono::seconds(5);
// A process adopts the remaining quotas reported by its peers within this time after its start.
constexpr auto quotaAdoptionTime = std::chrono::seconds(3);
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

tokens expectedOutput(const request_metadata& metadata)
{
    const auto limit = metadata.outputLimit.value_or(tokens { defaultOutputTokens });
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
        seconds << std::chrono::duration<double>(*retryAfter).count();
        response.headers.push_back({ "Retry-After", seconds.str() });
    }
    return response;
}

std::uint64_t replicaHash(const discovery::replica_id& id)
{
    return XXH64(id.value.data(), id.value.size(), 0);
}

team_hash teamHash(const team_id& team)
{
    return XXH64(team.value.data(), team.value.size(), 0);
}

request_dispatcher::request_dispatcher(boost::asio::io_context& context, const gateway_settings& settings, const protocol_codec& codec,
    http_client& client, decision_log& log, gateway_metrics& metrics)
    : m_context(context)
    , m_settings(settings)
    , m_codec(codec)
    , m_client(client)
    , m_log(log)
    , m_metrics(metrics)
    , m_startedAt(std::chrono::steady_clock::now())
    , m_random(randomSeed())
{
}

request_dispatcher::~request_dispatcher() = default;

void request_dispatcher::handle(http_request request, std::shared_ptr<http_responder> responder)
{
    const auto now = std::chrono::steady_clock::now();
    auto metadata = m_codec.decodeRequest(request);
    const auto reject = [&](unsigned status, std::string_view reason, std::optional<duration> retryAfter) {
        m_log.event("request_rejected")
            .field("request", metadata.attempt)
            .field("status", status)
            .field("reason", reason)
            .field("configuration", version());
        m_metrics.requestEnded(tier { 0 }, reason);
        responder->send(refusalResponse(status, reason, retryAfter));
    };
    if (!m_routes) {
        reject(statusUnavailable, "no_configuration", notReadyRetryAfter);
        return;
    }
    const auto* route = m_routes->find(request.header("Host").value_or(""), request.target);
    if (!route || route->services.empty()) {
        reject(statusNotFound, "no_route", std::nullopt);
        return;
    }
    const routing::team_definition* team = nullptr;
    if (m_routes->needsKey(*route)) {
        team = metadata.key.empty() ? nullptr : m_routes->teamOf(metadata.key);
        if (!team) {
            reject(statusUnauthorized, "unknown_key", std::nullopt);
            return;
        }
    }
    admitted_request admitted;
    admitted.id = m_nextId++;
    admitted.route = *route;
    admitted.arrived = now;
    auto timeLeft = metadata.timeLeft.value_or(defaultTimeLeft);
    if (route->timeout > duration {})
        timeLeft = std::min(timeLeft, route->timeout);
    admitted.responseDeadline = now + timeLeft;
    admitted.prompt = metadata.prompt.value_or(tokens { 0 });
    admitted.expectedOutput = expectedOutput(metadata);
    admitted.service = routing::chooseService(*route, m_random());
    if (m_drainDeadline
        && (route->streaming ? now > m_drainStartedAt + streamAdmissionTime : admitted.responseDeadline + drainMargin > *m_drainDeadline)) {
        reject(statusUnavailable, "stopping", minRetryAfter);
        return;
    }
    if (team) {
        admitted.teamTier = team->tier.value_or(tier { 0 });
        admitted.team = team->name;
        admitted.quotaUnits = quotaUnits(*team, metadata);
        const auto quota = m_quotas.find(team->name.value);
        if (quota != m_quotas.end() && !quota->second.reserve(admitted.quotaUnits, admitted.route.tier, quotaNodes(), now)) {
            const auto need = quota->second.requirementFor(admitted.quotaUnits, admitted.route.tier, quotaNodes(), now);
            m_log.event("quota_exceeded")
                .field("request", metadata.attempt)
                .field("team", team->name)
                .field("units", admitted.quotaUnits)
                .field("tier", admitted.route.tier.value + 0)
                .field("needed", need.requiredUnits)
                .field("available", need.availableUnits)
                .field("left", quota->second.remaining(now))
                .field("rate_per_s", team->ratePerSecond)
                .field("burst", team->burst)
                .field("reporting_nodes", m_fleet.reporting)
                .field("possible_nodes", m_fleet.possible);
            const auto wait
                = std::clamp<duration>(quota->second.timeUntilAvailable(admitted.quotaUnits, admitted.route.tier, quotaNodes(), now),
                    minRetryAfter, maxQuotaRetryAfter);
            reject(statusTooManyRequests, "quota", wait);
            return;
        }
    }
    admitted.metadata = std::move(metadata);
    admitted.request = std::move(request);
    service(admitted.service).retryBudget.countRequest(now);
    const auto id = admitted.id;
    const auto running = std::make_shared<exchange>(*this, std::move(admitted), std::move(responder));
    m_exchanges.emplace(id, running);
    running->start();
}

bool request_dispatcher::setConfiguration(routing::fleet_configuration configuration)
{
    if (m_routes && configuration.version <= m_routes->configuration().version)
        return false;
    const auto now = std::chrono::steady_clock::now();
    m_routes = std::make_shared<const routing::route_table>(std::move(configuration));
    const auto& current = m_routes->configuration();
    for (const auto& team : current.teams) {
        configureQuota(team, now);
    }
    for (const auto& defined : current.services) {
        placement::pool_limits limits;
        if (defined.engine) {
            limits.memory = defined.engine->cacheCapacity;
            limits.tokensPerEvent = defined.engine->tokensPerEvent;
        }
        service(defined.name).pool.setLimits(limits);
    }
    m_log.event("configuration_in_force")
        .field("version", current.version)
        .field("routes", current.routes.size())
        .field("teams", current.teams.size());
    m_metrics.setConfiguration(current.version);
    return true;
}

void request_dispatcher::configureQuota(const routing::team_definition& team, monotonic_time now)
{
    const auto limit = quotaLimit(team);
    const auto [position, inserted] = m_quotas.try_emplace(team.name.value, limit, now, m_settings.isFirstStart);
    if (inserted)
        m_quotaByHash[teamHash(team.name)] = &position->second;
    else
        position->second.configure(limit, now);
}

config_version request_dispatcher::version() const
{
    return m_routes ? m_routes->configuration().version : config_version {};
}

void request_dispatcher::setEndpoints(const std::map<discovery::replica_id, discovery::endpoint_record>& records)
{
    m_endpoints = records;
    m_replicaByHash.clear();
    for (const auto& [id, record] : m_endpoints)
        m_replicaByHash.emplace(replicaHash(id), id);
    std::map<std::string, std::vector<discovery::endpoint_record>> byService;
    for (const auto& [id, record] : m_endpoints)
        byService[record.service.value].push_back(record);
    const auto now = std::chrono::steady_clock::now();
    for (const auto& [name, list] : byService)
        service(service_id { name });
    for (auto& [name, state] : m_services) {
        state->pool.setEndpoints(byService[name], now);
        scheduleDecision(service_id { name });
    }
}

void request_dispatcher::setFleetSize(const fleet_size& size)
{
    m_fleet = size;
    for (auto& [name, state] : m_services)
        state->pool.setNodes(size.rank, size.live);
}

void request_dispatcher::setPeerLoads(const node_id& node, const std::vector<peer_load>& loads)
{
    std::map<std::string, std::map<discovery::replica_id, placement::endpoint_load>> byService;
    for (const auto& entry : loads) {
        const auto id = m_replicaByHash.find(entry.replica);
        if (id != m_replicaByHash.end())
            byService[m_endpoints.at(id->second).service.value].emplace(id->second, entry.load);
    }
    for (auto& [name, state] : m_services) {
        state->pool.setPeerLoad(node, byService[name]);
        if (state->pool.hasWaiting())
            scheduleDecision(service_id { name });
    }
}

void request_dispatcher::setPeerSpeeds(const node_id& node, const std::vector<measured_speed>& speeds)
{
    for (const auto& entry : speeds) {
        const auto id = m_replicaByHash.find(entry.replica);
        if (id != m_replicaByHash.end())
            service(m_endpoints.at(id->second).service).pool.setPeerSpeed(node, id->second, entry.speed);
    }
}

void request_dispatcher::removePeer(const node_id& node)
{
    for (auto& [name, state] : m_services)
        state->pool.removePeer(node);
}

limits::shared_quota* request_dispatcher::findQuota(team_hash team) const
{
    const auto found = m_quotaByHash.find(team);
    return found == m_quotaByHash.end() ? nullptr : found->second;
}

void request_dispatcher::addPeerUsage(team_hash team, double units)
{
    if (auto* quota = findQuota(team))
        quota->addPeerUsage(units, std::chrono::steady_clock::now());
}

void request_dispatcher::addPeerReserved(team_hash team, double units)
{
    if (auto* quota = findQuota(team))
        quota->addPeerReserved(units);
}

limits::quota_limit request_dispatcher::quotaLimit(const routing::team_definition& team) const
{
    return { team.ratePerSecond, team.burst, m_settings.quotaWindow };
}

void request_dispatcher::adoptQuota(team_hash team, double remaining)
{
    const auto now = std::chrono::steady_clock::now();
    if (m_settings.isFirstStart || now - m_startedAt > quotaAdoptionTime)
        return;
    auto* quota = findQuota(team);
    if (quota && m_adoptedQuotas.insert(team).second)
        quota->setRemaining(remaining, now);
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
    std::size_t waiting = 0;
    for (auto& [name, state] : m_services) {
        waiting += state->pool.waitingCount();
        if (state->pool.hasWaiting())
            decide(*state);
    }
    m_metrics.setWaiting(waiting);
    m_metrics.setActive(m_exchanges.size());
}

std::vector<peer_load> request_dispatcher::reportLoads()
{
    std::vector<peer_load> loads;
    for (const auto& [name, state] : m_services) {
        for (const auto& [id, load] : state->pool.reportLoad())
            loads.push_back({ replicaHash(id), load });
    }
    return loads;
}

std::vector<measured_speed> request_dispatcher::reportSpeeds(bool all)
{
    std::vector<measured_speed> speeds;
    for (const auto& [name, state] : m_services) {
        for (const auto& [id, speed] : state->pool.reportSpeeds(all))
            speeds.push_back({ replicaHash(id), speed });
    }
    return speeds;
}

std::map<team_hash, quota_usage> request_dispatcher::reportUsage(bool all)
{
    const auto now = std::chrono::steady_clock::now();
    std::map<team_hash, quota_usage> usage;
    for (const auto& [team, quota] : m_quotaByHash) {
        if (!quota->isLimited())
            continue;
        const quota_usage use { quota->localUsage(), quota->remaining(now), quota->localReserved() };
        auto& reported = m_reportedUsage[team];
        if (!all && use.used == reported.used && use.reserved == reported.reserved)
            continue;
        reported = use;
        usage.emplace(team, use);
    }
    return usage;
}

request_dispatcher::service_state& request_dispatcher::service(const service_id& name)
{
    auto& state = m_services[name.value];
    if (!state) {
        state = std::make_unique<service_state>(
            limits::retry_budget(m_settings.retryRatio, m_settings.retrySlack, m_settings.retryWindow), m_random());
        state->pool.setNodes(m_fleet.rank, m_fleet.live);
    }
    return *state;
}

void request_dispatcher::submit(const std::shared_ptr<exchange>& source, placement::waiting_request request)
{
    service(source->service()).pool.submit(std::move(request));
    scheduleDecision(source->service());
}

// Posts the decision instead of running it inline, so that an exchange is not re-entered from its own call.
void request_dispatcher::scheduleDecision(const service_id& name)
{
    auto& state = service(name);
    if (std::exchange(state.isDecisionScheduled, true))
        return;
    boost::asio::post(m_context, [this, &state] {
        state.isDecisionScheduled = false;
        decide(state);
    });
}

void request_dispatcher::decide(service_state& state)
{
    const auto decisions = state.pool.decide(std::chrono::steady_clock::now());
    for (const auto& granted : decisions.grants) {
        const auto found = m_exchanges.find(granted.id);
        if (found != m_exchanges.end())
            found->second->onGranted(granted);
    }
    for (const auto& wait : decisions.waitReports) {
        const auto found = m_exchanges.find(wait.id);
        if (found == m_exchanges.end())
            continue;
        const auto& admitted = found->second->admitted();
        m_log.event("request_waits")
            .field("request", admitted.metadata.attempt)
            .field("team_tier", admitted.teamTier.value + 0)
            .field("tier", admitted.route.tier.value + 0)
            .field("prompt_tokens", admitted.prompt)
            .field("waited_ms", std::chrono::duration_cast<std::chrono::milliseconds>(wait.waited).count())
            .field("ahead", wait.ahead)
            .field("unusable", wait.unusable)
            .field("full", wait.full)
            .field("busy_reading", wait.prefillBusy)
            .field("too_slow", wait.tooSlow);
    }
    for (const auto& refused : decisions.refusals) {
        const auto found = m_exchanges.find(refused.id);
        if (found == m_exchanges.end())
            continue;
        const auto running = found->second;
        running->onRefused(refused);
    }
}

void request_dispatcher::withdraw(const exchange& source)
{
    service(source.service()).pool.withdraw(source.id());
}

void request_dispatcher::recordProgress(const exchange& source, std::size_t events)
{
    service(source.service()).pool.recordProgress(source.id(), events, std::chrono::steady_clock::now());
}

void request_dispatcher::finishAttempt(const exchange& source, placement::outcome result, std::size_t events)
{
    auto& state = service(source.service());
    state.pool.recordOutcome(source.id(), result, events, std::chrono::steady_clock::now());
    if (state.pool.hasWaiting())
        scheduleDecision(source.service());
}

duration request_dispatcher::firstEventTimeout(const exchange& source) const
{
    const auto found = m_services.find(source.service().value);
    return found == m_services.end() ? duration {} : found->second->pool.firstEventTimeout(source.id());
}

bool request_dispatcher::tryTakeRetry(const service_id& name)
{
    return service(name).retryBudget.takeRetry(m_fleet.possible, std::chrono::steady_clock::now());
}

void request_dispatcher::commitQuota(const team_id& team, double units)
{
    const auto found = m_quotas.find(team.value);
    if (found != m_quotas.end())
        found->second.commit(units, std::chrono::steady_clock::now());
}

void request_dispatcher::releaseQuota(const team_id& team, double units)
{
    const auto found = m_quotas.find(team.value);
    if (found != m_quotas.end())
        found->second.release(units);
}

void request_dispatcher::onExchangeEnded(const exchange& source)
{
    m_exchanges.erase(source.id());
}

} // namespace carawaylink::gateway
