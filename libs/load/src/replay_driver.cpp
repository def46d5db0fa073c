#include "replay_driver.h"

#include "base/error.h"
#include "base/log.h"
#include "load/prompt.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>

namespace carawaylink::load {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// An entry node that is silent must not hold up the calls of its team for long: tier 0 has to recover within 3 s of a
// node's death.
constexpr auto entryIdle = std::chrono::seconds(1);
constexpr auto entryRetryDelay = milliseconds(100);
// The entry is asked ten times a second while no node answers; the log shows one of these failures per team and interval.
constexpr auto entryWarningInterval = std::chrono::seconds(5);
// A caller with a deadline of seconds does not wait longer for another attempt.
constexpr auto longestRetryAfter = std::chrono::seconds(1);
constexpr std::size_t mostTicketsPerRequest = 64;
// A lookup may be repeated once, so that a call costs the fleet at most twice its offered load.
constexpr int lookupRetries = 1;

std::int64_t sinceUs(monotonic_time start, monotonic_time now)
{
    return duration_cast<microseconds>(now - start).count();
}

} // namespace

struct replay_driver::active_call {
    const trace_call* trace = nullptr;
    team_state* team = nullptr;
    std::string id;
    monotonic_time arrival;
    std::int64_t attempt = 0;
    std::size_t connectFailures = 0;
    std::optional<held_ticket> ticket;
    bool ticketUsed = false;
    /// An attempt ended without the certainty that it did not run.
    bool mayHaveRun = false;
    std::unique_ptr<boost::asio::steady_timer> retryTimer;
    std::string address;

    // State of the current attempt.
    unsigned status = 0;
    std::string request;
    std::string body;
    std::int64_t retryAfterMs = 0;
    std::unique_ptr<answer_checker> answer;
    monotonic_time lastToken;
    std::int64_t firstTokenUs = -1;
    std::shared_ptr<http_call> connection;

    monotonic_time deadline() const { return arrival + trace->deadline; }
};

struct replay_driver::team_state {
    team_state(std::string teamName, std::string teamKey, const replay_settings& settings, boost::asio::io_context& context)
        : name(std::move(teamName))
        , key(std::move(teamKey))
        , cache(settings.entry)
        , retryTimer(context)
    {
    }

    std::string name;
    std::string key;
    entry_cache cache;
    bool refreshing = false;
    monotonic_time nextWarning {};
    std::vector<call_pointer> waiting;
    boost::asio::steady_timer retryTimer;
};

replay_driver::replay_driver(boost::asio::io_context& context, const replay_settings& settings, const std::vector<trace_call>& calls,
    history_writer& writer, std::size_t index)
    : m_context(context)
    , m_settings(settings)
    , m_calls(calls)
    , m_writer(writer)
    , m_client(context)
    , m_timer(context)
    , m_next(index)
{
}

replay_driver::~replay_driver() = default;

void replay_driver::start(monotonic_time origin, std::function<void()> onDone)
{
    m_origin = origin;
    m_onDone = std::move(onDone);
    scheduleNext();
}

void replay_driver::scheduleNext()
{
    if (m_next >= m_calls.size()) {
        if (m_open.empty() && m_onDone)
            std::exchange(m_onDone, nullptr)();
        return;
    }
    const auto offset = duration_cast<duration>(std::chrono::duration<double, std::milli>(m_calls[m_next].at) / m_settings.speed);
    m_timer.expires_at(m_origin + offset);
    m_timer.async_wait([this](const boost::system::error_code& failure) {
        if (!failure)
            playDue();
    });
}

void replay_driver::playDue()
{
    const auto now = std::chrono::steady_clock::now();
    while (!m_abandoned && m_next < m_calls.size()) {
        const auto offset = duration_cast<duration>(std::chrono::duration<double, std::milli>(m_calls[m_next].at) / m_settings.speed);
        if (m_origin + offset > now)
            break;
        begin(m_next);
        m_next += m_settings.threads;
    }
    scheduleNext();
}

void replay_driver::begin(std::size_t index)
{
    const auto& trace = m_calls[index];
    auto& team = m_teams[trace.team.value];
    if (!team) {
        const auto key = m_settings.keys.find(trace.team.value);
        team = std::make_unique<team_state>(
            trace.team.value, key == m_settings.keys.end() ? "key-" + trace.team.value : key->second, m_settings, m_context);
    }
    auto call = std::make_shared<active_call>();
    call->trace = &trace;
    call->team = team.get();
    call->id = m_settings.runId + "-" + std::to_string(index);
    call->arrival = m_origin + duration_cast<duration>(std::chrono::duration<double, std::milli>(trace.at) / m_settings.speed);
    const auto lag = duration_cast<microseconds>(std::chrono::steady_clock::now() - call->arrival);
    m_totals.largestLag = std::max(m_totals.largestLag, lag);
    ++m_totals.offered;
    m_open.insert(call);
    proceed(call);
}

void replay_driver::proceed(const call_pointer& call)
{
    if (m_abandoned) {
        closeUnsent(call, "abandoned");
        return;
    }
    auto& team = *call->team;
    const auto now = std::chrono::steady_clock::now();
    const bool needsTicket = !call->trace->idempotent && !call->ticket;
    const bool stocked = !needsTicket || team.cache.ticketCount() > 0;
    if (team.cache.refreshDue(now) || !stocked || (!call->trace->idempotent && team.cache.ticketCount() <= m_settings.ticketStock / 2))
        refreshEntry(team, m_settings.entry.size() + team.cache.addressCount());
    if (!team.cache.usable(now) || !stocked) {
        if (now >= call->deadline()) {
            closeUnsent(call, "no_entry");
            return;
        }
        team.waiting.push_back(call);
        return;
    }
    const auto previous = call->address;
    if (needsTicket) {
        call->ticket = team.cache.takeTicket();
        // The issuer is the ticket's home: any other node would only pass the call on to it.
        call->address = team.cache.avoided(call->ticket->issuer, now) ? team.cache.next(now, previous) : call->ticket->issuer;
    } else {
        call->address = team.cache.next(now, previous);
    }
    ++call->attempt;
    call->status = 0;
    call->request.clear();
    call->body.clear();
    call->retryAfterMs = 0;
    call->firstTokenUs = -1;
    recordSent(*call);
    if (isPlain(*call->trace))
        sendPlainCall(call);
    else
        sendModelCall(call);
}

void replay_driver::closeUnsent(const call_pointer& call, std::string_view reason)
{
    auto record = outcomeOf(*call);
    record.event = "broken";
    record.reason = reason;
    record.ran = call->mayHaveRun ? "unknown" : "no";
    record.sent = call->mayHaveRun;
    m_writer.write(callerLine(record));
    finish(call);
}

void replay_driver::addCallerHeaders(const active_call& call, http_request& request) const
{
    const auto left = duration_cast<milliseconds>(call.deadline() - std::chrono::steady_clock::now()).count();
    request.headers.push_back({ "Authorization", "Bearer " + call.team->key });
    request.headers.push_back({ "X-Carawaylink-Tier", std::to_string(call.trace->urgency.value) });
    request.headers.push_back({ "X-Carawaylink-Deadline-Ms", std::to_string(std::max<std::int64_t>(1, left)) });
    if (call.ticket) {
        request.headers.push_back({ "X-Carawaylink-Idempotent", "false" });
        request.headers.push_back({ "X-Carawaylink-Ticket", call.ticket->text });
    }
}

http_call_options replay_driver::optionsFor(const active_call& call) const
{
    http_call_options options;
    options.idleTimeout = std::max(call.deadline() - std::chrono::steady_clock::now(), duration::zero()) + m_settings.patience;
    return options;
}

void replay_driver::sendModelCall(const call_pointer& call)
{
    http_request request { "POST", "/v1/completions", { { "Content-Type", "application/json" } }, {} };
    addCallerHeaders(*call, request);
    // Prompts and call ids hold no character that JSON escapes; serializing them would double the cost of a call.
    request.body = R"({"model":)" + boost::json::serialize(call->trace->service.value) + R"(,"prompt":")"
        + buildPrompt(*call->trace, call->id) + R"(","max_tokens":)" + std::to_string(call->trace->output.value)
        + R"(,"stream":true,"user":")" + call->id + R"("})";
    call->answer = std::make_unique<answer_checker>(call->id, [this, raw = call.get()] { noteToken(*raw); });
    http_stream_handlers handlers;
    handlers.onHead = [call](const http_response& head) {
        call->status = head.status;
        call->request = head.header("X-Carawaylink-Request").value_or("");
    };
    handlers.onData = [call](std::string_view bytes) {
        if (call->status == 200)
            call->answer->feed(bytes);
        else
            call->body += bytes;
    };
    handlers.onDone = [this, call](const http_result& result) { modelDone(call, result); };
    const auto options = optionsFor(*call);
    call->connection = m_client.stream(call->address, std::move(request), options, std::move(handlers));
}

void replay_driver::sendPlainCall(const call_pointer& call)
{
    const auto base = "/services/" + call->trace->service.value;
    http_request request;
    if (call->trace->idempotent) {
        request = { "GET", base + "/lookup", {}, {} };
    } else {
        request = { "POST", base + "/order", { { "Content-Type", "application/json" } }, R"({"call":")" + call->id + R"("})" };
    }
    request.headers.push_back({ "X-Call-Id", call->id });
    addCallerHeaders(*call, request);
    const auto options = optionsFor(*call);
    call->connection
        = m_client.send(call->address, std::move(request), options, [this, call](const http_result& result) { plainDone(call, result); });
}

void replay_driver::noteToken(active_call& call)
{
    const auto now = std::chrono::steady_clock::now();
    ++m_totals.tokens;
    if (call.firstTokenUs < 0)
        call.firstTokenUs = sinceUs(call.arrival, now);
    else
        m_gaps[call.trace->urgency.value].add(sinceUs(call.lastToken, now));
    call.lastToken = now;
}

void replay_driver::recordSent(const active_call& call)
{
    auto record = outcomeOf(call);
    record.event = "sent";
    record.promptTokens = isPlain(*call.trace) ? 0 : call.trace->prompt.value;
    record.prefix = isPlain(*call.trace) ? "" : call.trace->prefix;
    record.prefixTokens = sharedPrefixTokens(*call.trace).value;
    m_writer.write(callerLine(record));
}

history_record replay_driver::outcomeOf(const active_call& call) const
{
    history_record record;
    record.timeUs = historyTimeUs();
    record.call = call.id;
    record.attempt = call.attempt;
    record.team = call.team->name;
    record.tier = call.trace->urgency.value;
    record.service = call.trace->service.value;
    record.address = call.address;
    if (call.ticket)
        record.ticket = ticketHash(call.ticket->text);
    record.deadlineMs = call.trace->deadline.count();
    record.idempotent = call.trace->idempotent;
    record.expectedTokens = isPlain(*call.trace) ? 0 : call.trace->output.value;
    record.status = call.status;
    record.request = call.request;
    record.firstTokenUs = call.firstTokenUs;
    record.latencyUs = sinceUs(call.arrival, std::chrono::steady_clock::now());
    return record;
}

void replay_driver::modelDone(const call_pointer& call, const http_result& result)
{
    auto record = outcomeOf(*call);
    const auto& state = call->answer->state();
    record.tokens = state.tokens;
    record.own = state.own;
    record.ordered = state.ordered;
    record.whole = state.done;
    record.sent = result.sent;
    record.reason = state.fault;
    if (call->status != 0 && call->status != 200 && result.ok()) {
        const auto refusal = readRefusal(call->body);
        record.event = "refused";
        record.reason = refusal.type;
        record.ran = refusal.ran;
        call->retryAfterMs = refusal.retryAfterMs;
    } else if (state.failed && !state.done) {
        record.event = "refused";
        record.reason = state.errorType;
        record.ran = state.errorRan;
    } else if (state.done || (call->status == 200 && result.ok())) {
        record.event = "answered";
        if (!state.done)
            record.reason = "ended_without_done";
        else if (record.tokens != record.expectedTokens && record.reason.empty())
            record.reason = "wrong_token_count";
    } else {
        record.event = "broken";
        record.reason = httpFailureNames.name(result.failure);
        record.ran = result.sent ? "unknown" : "no";
    }
    conclude(call, std::move(record));
}

void replay_driver::plainDone(const call_pointer& call, const http_result& result)
{
    call->status = result.response.status;
    call->request = result.response.header("X-Carawaylink-Request").value_or("");
    auto record = outcomeOf(*call);
    record.sent = result.sent;
    if (!result.ok()) {
        record.event = "broken";
        record.status = 0;
        record.reason = httpFailureNames.name(result.failure);
        record.ran = result.sent ? "unknown" : "no";
    } else if (result.response.status == 200) {
        record.event = "answered";
        record.whole = true;
        record.own = bodyNamesCall(result.response.body, call->id);
    } else {
        const auto refusal = readRefusal(result.response.body);
        record.event = "refused";
        record.reason = refusal.type;
        record.ran = refusal.ran;
        call->retryAfterMs = refusal.retryAfterMs;
    }
    conclude(call, std::move(record));
}

void replay_driver::conclude(const call_pointer& call, history_record record)
{
    call->connection.reset();
    m_writer.write(callerLine(record));
    if (record.sent && record.ran != "no")
        call->mayHaveRun = true;
    const auto delay = m_abandoned ? std::nullopt : retryDelay(*call, record);
    if (!delay) {
        finish(call);
        return;
    }
    // Even without a delay the attempt starts from the event loop, since the client may report a failure from inside the
    // call that starts an attempt. A cancelled timer lets proceed() close the call.
    call->retryTimer = std::make_unique<boost::asio::steady_timer>(m_context, *delay);
    call->retryTimer->async_wait([this, call](const boost::system::error_code&) { proceed(call); });
}

std::optional<duration> replay_driver::retryDelay(active_call& call, const history_record& record)
{
    const auto now = std::chrono::steady_clock::now();
    const auto allowed = [](bool condition) { return condition ? std::optional(duration::zero()) : std::nullopt; };
    auto& cache = call.team->cache;
    const bool unsent = record.event == "broken" && !record.sent;
    if (unsent) {
        cache.connectFailed(call.address, now);
        // A ticket that no node has seen is replaced: its home is probably the node that failed.
        if (!call.ticketUsed)
            call.ticket.reset();
    } else if (call.ticket) {
        call.ticketUsed = true;
    }
    if (record.event == "answered" || now >= call.deadline())
        return std::nullopt;
    if (unsent)
        return allowed(++call.connectFailures <= cache.addressCount());
    const auto repeated = call.attempt - static_cast<std::int64_t>(call.connectFailures);
    if (record.event == "broken") {
        if (call.ticket)
            return allowed(repeated <= m_settings.retries);
        return allowed(isPlain(*call.trace) && call.trace->idempotent && repeated <= lookupRetries);
    }
    // A refusal that says "not run" and concerns the node (503) or the ticket, not the load (429), is worth another attempt.
    // The ticket is closed by then, so a new one is needed.
    const bool elsewhere = record.status == 503 || record.reason.starts_with("ticket_closed");
    if (record.ran != "no" || !elsewhere || repeated > m_settings.retries)
        return std::nullopt;
    if (record.reason == "draining")
        cache.connectFailed(call.address, now);
    if (call.ticket) {
        if (record.reason.starts_with("ticket_closed"))
            cache.dropTickets(call.ticket->issuer);
        call.ticket.reset();
        call.ticketUsed = false;
    }
    return std::clamp<duration>(milliseconds(call.retryAfterMs), duration::zero(), longestRetryAfter);
}

void replay_driver::finish(const call_pointer& call)
{
    m_open.erase(call);
    if (m_open.empty() && m_next >= m_calls.size() && m_onDone)
        std::exchange(m_onDone, nullptr)();
}

void replay_driver::refreshEntry(team_state& team, std::size_t triesLeft)
{
    if (team.refreshing)
        return;
    team.refreshing = true;
    const auto address = team.cache.nextEntry(std::chrono::steady_clock::now());
    const auto wanting
        = std::ranges::count_if(team.waiting, [](const call_pointer& call) { return !call->trace->idempotent && !call->ticket; });
    const auto missing
        = m_settings.ticketStock + static_cast<std::size_t>(wanting) - std::min(m_settings.ticketStock, team.cache.ticketCount());
    http_request request;
    request.target = "/v1/entry?tickets=" + std::to_string(std::min(missing, mostTicketsPerRequest));
    request.headers.push_back({ "Authorization", "Bearer " + team.key });
    http_call_options options;
    options.idleTimeout = entryIdle;
    m_client.send(address, std::move(request), options,
        [this, &team, address, triesLeft](const http_result& result) { entryDone(team, address, result, triesLeft); });
}

void replay_driver::entryDone(team_state& team, const std::string& address, const http_result& result, std::size_t triesLeft)
{
    team.refreshing = false;
    const auto now = std::chrono::steady_clock::now();
    std::string failure;
    if (!result.ok()) {
        failure = result.detail.empty() ? std::string(httpFailureNames.name(result.failure)) : result.detail;
        team.cache.connectFailed(address, now);
    } else if (result.response.status != 200) {
        failure = "status " + std::to_string(result.response.status);
    } else {
        try {
            team.cache.update(readEntryAnswer(result.response.body), address, now);
        } catch (const error& problem) {
            failure = problem.what();
        }
    }
    if (m_abandoned)
        return;
    if (failure.empty()) {
        releaseWaiting(team);
        return;
    }
    if (triesLeft > 1) {
        boost::asio::post(m_context, [this, &team, triesLeft] { refreshEntry(team, triesLeft - 1); });
        return;
    }
    if (now >= team.nextWarning) {
        log_event("entry_failed", log_level::warning).field("team", team.name).field("address", address).field("reason", failure);
        team.nextWarning = now + entryWarningInterval;
    }
    releaseWaiting(team);
}

void replay_driver::releaseWaiting(team_state& team)
{
    const auto now = std::chrono::steady_clock::now();
    const bool usable = team.cache.usable(now);
    auto waiting = std::exchange(team.waiting, {});
    std::vector<call_pointer> ready;
    std::size_t tickets = team.cache.ticketCount();
    for (auto& call : waiting) {
        const bool needsTicket = !call->trace->idempotent && !call->ticket;
        if (now >= call->deadline() || (usable && (!needsTicket || tickets > 0))) {
            tickets -= needsTicket && tickets > 0 ? 1 : 0;
            ready.push_back(std::move(call));
        } else {
            team.waiting.push_back(std::move(call));
        }
    }
    for (const auto& call : ready)
        proceed(call);
    if (team.waiting.empty())
        return;
    team.retryTimer.expires_after(entryRetryDelay);
    team.retryTimer.async_wait([this, &team](const boost::system::error_code& failure) {
        if (failure || m_abandoned)
            return;
        if (team.refreshing)
            return;
        refreshEntry(team, m_settings.entry.size() + team.cache.addressCount());
    });
}

void replay_driver::abandon()
{
    m_abandoned = true;
    m_timer.cancel();
    m_next = std::max(m_next, m_calls.size());
    m_totals.abandoned += static_cast<std::int64_t>(m_open.size());
    std::vector<call_pointer> waiting;
    for (auto& [name, team] : m_teams) {
        team->retryTimer.cancel();
        std::ranges::move(team->waiting, std::back_inserter(waiting));
        team->waiting.clear();
    }
    for (const auto& call : waiting)
        closeUnsent(call, "no_entry");
    const std::vector<call_pointer> open(m_open.begin(), m_open.end());
    for (const auto& call : open) {
        if (call->connection)
            call->connection->cancel();
        if (call->retryTimer)
            call->retryTimer->cancel();
    }
    scheduleNext();
}

} // namespace carawaylink::load
