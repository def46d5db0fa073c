#include "standins/engine_server.h"

#include "engine_messages.h"
#include "http/client.h"
#include "query.h"
#include "server_core.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <map>

namespace carawaylink {

namespace {

/// A stream whose reader is slower than this many unwritten bytes gets no more tokens until they are written.
constexpr std::size_t maxPendingBytes = 1U << 20;
constexpr std::size_t maxCacheEventsPerAnswer = 4096;
constexpr std::string_view streamsPath = "/v1/streams/";

monotonic_time clockNow()
{
    return std::chrono::steady_clock::now();
}

/// One reader of an execution.
struct reader {
    std::shared_ptr<const engine_execution> execution;
    reply_pointer answer;
    completion_writer writer;
    bool stream = false;
    /// Next token to write.
    std::int64_t next = 0;
    std::int64_t written = 0;
    /// Waits until what was written has been sent.
    bool blocked = false;
    /// Is closed as soon as what was written has been sent.
    bool cut = false;
};

/// A poll for cache events that waits for the next one.
struct event_poll {
    std::uint64_t from = 0;
    monotonic_time deadline;
    reply_pointer answer;
};

} // namespace

struct engine_server::implementation {
    implementation(engine_server_options serverOptions, std::shared_ptr<history_writer> historyWriter)
        : options(std::move(serverOptions))
        , history(std::move(historyWriter))
        , model(options.engine, clockNow())
        , core({ .handle = [this](http_request request, const reply_pointer& answer) { handle(std::move(request), answer); },
              .faults = [this] { return model.faults().toJson(); },
              .applyFaults = [this](std::string_view json) { applyFaults(json); },
              .paused = [this] { return model.faults().on(engine_fault::pause); },
              .silent = [this] { return model.faults().on(engine_fault::silent_connections); } })
        , client(core.context())
        , timer(core.context())
    {
    }

    ~implementation() { core.stop(); }

    void applyFaults(std::string_view json)
    {
        const auto now = clockNow();
        model.advance(now);
        model.applyFaults(now, json);
        pump();
    }

    void handle(http_request request, const reply_pointer& answer)
    {
        const auto now = clockNow();
        model.advance(now);
        const auto path = request.path();
        const auto is = [&](std::string_view method, std::string_view target) { return request.method == method && path == target; };
        if (is("POST", "/v1/completions"))
            generate(now, request, answer, false);
        else if (is("POST", "/v1/chat/completions"))
            generate(now, request, answer, true);
        else if (path.starts_with(streamsPath))
            handleStream(now, request, answer, std::string(path.substr(streamsPath.size())));
        else if (is("GET", "/load"))
            answer->send(jsonResponse(200, writeLoad(model.load(now))));
        else if (is("GET", "/state"))
            answer->send(jsonResponse(200, writeState(model)));
        else if (is("GET", "/v1/models"))
            answer->send(jsonResponse(200, writeModels(model)));
        else if (is("GET", "/cache/events"))
            pollEvents(now, request, answer);
        else if (is("POST", "/orders"))
            order(now, request, answer);
        else if (is("POST", "/kv/export"))
            exportBlocks(now, request, answer);
        else if (is("POST", "/kv/import"))
            importBlocks(now, request, answer);
        else if (is("POST", "/leave"))
            leave(now, answer);
        else
            answer->send(errorAnswer(404, "not_found", "no such route: " + request.method + " " + std::string(path)));
        pump();
    }

    void generate(monotonic_time now, const http_request& request, const reply_pointer& answer, bool chat)
    {
        auto call = readGenerationCall(request.body, chat);
        const auto id = request.header("X-Request-Id");
        call.request.id = id ? std::string(*id) : "engine-" + std::to_string(++generatedIds);
        const auto submitted = model.submit(now, std::move(call.request));
        takeEvents();
        if (submitted.refusal != engine_refusal::none) {
            answer->send(refusalAnswer(submitted.refusal));
            return;
        }
        addReader(submitted.execution, answer, call.stream, 0);
    }

    static http_response refusalAnswer(engine_refusal refusal)
    {
        const auto name = engineRefusalNames.name(refusal);
        switch (refusal) {
        case engine_refusal::too_long:
            return errorAnswer(400, name, "prompt and output do not fit into the KV cache");
        case engine_refusal::failed:
            return errorAnswer(500, name, "the engine failed before the request ran");
        case engine_refusal::queue_full:
            return errorAnswer(429, name, "the queue of the engine is full");
        case engine_refusal::leaving: {
            auto response = errorAnswer(503, name, "the engine is leaving");
            response.headers.push_back({ "X-Engine-Leaving", "1" });
            return response;
        }
        default:
            return errorAnswer(503, name, "the engine takes no new work");
        }
    }

    void addReader(std::shared_ptr<const engine_execution> execution, const reply_pointer& answer, bool stream, std::int64_t from)
    {
        const auto added
            = std::make_shared<reader>(reader { execution, answer, completion_writer(*execution, options.engine.model), stream, from });
        if (stream) {
            answer->start(
                200, { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-cache" }, { "X-Request-Id", execution->request } });
            answer->onDrained([this, weak = std::weak_ptr(added)] {
                if (const auto drained = weak.lock(); drained && drained->blocked)
                    core.post([this] { pump(); });
            });
        }
        readers.push_back(added);
    }

    void handleStream(monotonic_time now, const http_request& request, const reply_pointer& answer, const std::string& id)
    {
        const auto execution = model.find(id);
        if (!execution) {
            answer->send(errorAnswer(404, "unknown_stream", "no output is kept for this request id"));
        } else if (request.method == "DELETE") {
            const bool cancelled = model.cancel(now, id);
            takeEvents();
            answer->send(jsonResponse(200, cancelled ? R"({"cancelled":true})" : R"({"cancelled":false})"));
        } else if (request.method == "GET") {
            addReader(execution, answer, true, static_cast<std::int64_t>(queryNumber(request, "from")));
        } else {
            answer->send(errorAnswer(405, "method_not_allowed", "use GET or DELETE"));
        }
    }

    void pollEvents(monotonic_time now, const http_request& request, const reply_pointer& answer)
    {
        polls.push_back({ queryNumber(request, "from"), now + queryWait(request), answer });
    }

    void order(monotonic_time now, const http_request& request, const reply_pointer& answer)
    {
        const auto received = readOrder(request.body);
        const bool admitted = model.admitOrder(now, received);
        takeEvents();
        if (!admitted) {
            auto response = errorAnswer(409, "stale_fence", "the engine has seen fence " + std::to_string(model.fence()));
            answer->send(std::move(response));
            return;
        }
        if (received.kind != order_kind::load_model || options.weightStore.empty()) {
            startOrder(received, answer);
            return;
        }
        client.send(options.weightStore, { "POST", "/weights/" + received.name }, {}, [this, received, answer](const http_result& result) {
            if (result.ok() && result.response.status == 200) {
                model.advance(clockNow());
                startOrder(received, answer);
                pump();
            } else if (result.ok() && result.response.status == 429) {
                auto response = errorAnswer(503, "weight_store_busy", "the weight store is at its limit of loads");
                response.headers.push_back({ "Retry-After", "1" });
                answer->send(std::move(response));
            } else {
                answer->send(errorAnswer(502, "weight_store_failed", "the weight store did not answer the load"));
            }
        });
    }

    void startOrder(const engine_order& received, const reply_pointer& answer)
    {
        const auto task = model.startOrder(clockNow(), received);
        tasks[task] = [this, answer] { answer->send(jsonResponse(200, writeState(model))); };
    }

    void exportBlocks(monotonic_time now, const http_request& request, const reply_pointer& answer)
    {
        const auto hashes = readHashes(request.body);
        tasks[model.startExport(now, hashes)]
            = [this, hashes, answer] { answer->send(jsonResponse(200, writeHashes("hashes", model.cachedBlocks(hashes)))); };
    }

    void importBlocks(monotonic_time now, const http_request& request, const reply_pointer& answer)
    {
        const auto hashes = readHashes(request.body);
        tasks[model.startImport(now, hashes)]
            = [this, hashes, answer] { answer->send(jsonResponse(200, writeHashes("hashes", model.cachedBlocks(hashes)))); };
    }

    void leave(monotonic_time now, const reply_pointer& answer)
    {
        model.leave(now);
        takeEvents();
        answer->send(jsonResponse(200, R"({"leaving":true})"));
    }

    /// Brings the model to the current time, writes what it produced and sets the timer for its next change.
    void pump()
    {
        const auto now = clockNow();
        model.advance(now);
        takeEvents();
        if (model.faults().on(engine_fault::pause))
            return;
        std::erase_if(readers, [this](const auto& entry) { return serve(*entry); });
        std::erase_if(polls, [&](const event_poll& poll) { return servePoll(now, poll); });
        armTimer(now);
    }

    /// Writes the history; called before an answer is sent, so that a caller that has the answer finds its lines.
    void takeEvents()
    {
        for (const auto& event : model.takeEvents()) {
            if (event.kind == engine_event_kind::task_done) {
                if (const auto task = tasks.extract(event.number))
                    task.mapped()();
            } else if (history->enabled()) {
                history->append(writeHistoryLine(event, core.address()));
            }
        }
    }

    /// Writes the new tokens of an execution to its reader; returns true once nothing more is to be written.
    bool serve(reader& entry)
    {
        const auto& execution = *entry.execution;
        if (entry.answer->closed() || entry.answer->silent())
            return true;
        if (execution.cancelled) {
            if (entry.stream)
                entry.answer->abort();
            else
                entry.answer->send(errorAnswer(409, "cancelled", "the request was cancelled"));
            return true;
        }
        if (!entry.stream) {
            if (execution.finished)
                entry.answer->send(jsonResponse(200, entry.writer.whole(execution)));
            return execution.finished;
        }
        if (entry.cut)
            return closeCut(entry);
        entry.blocked = entry.answer->pendingBytes() > maxPendingBytes;
        if (entry.blocked || (entry.next >= execution.produced && !execution.finished))
            return false;
        return writeTokens(entry);
    }

    bool writeTokens(reader& entry)
    {
        const auto& execution = *entry.execution;
        const auto cutAfter = static_cast<std::int64_t>(model.faults().number(engine_fault::cut_streams_after_tokens));
        auto end = std::max(entry.next, execution.produced);
        if (cutAfter > 0)
            end = std::min(end, entry.next + cutAfter - entry.written);
        buffer.clear();
        while (entry.next < end && buffer.size() < maxPendingBytes) {
            entry.writer.appendToken(buffer, execution, entry.next++);
            ++entry.written;
        }
        entry.cut = cutAfter > 0 && entry.written >= cutAfter;
        const bool ended = !entry.cut && execution.finished && entry.next >= execution.produced;
        if (ended)
            entry.writer.appendEnd(buffer, execution);
        entry.answer->write(buffer);
        if (entry.cut)
            return closeCut(entry);
        entry.blocked = !ended && entry.next < execution.produced;
        if (ended)
            entry.answer->finish();
        return ended;
    }

    // An abort drops unsent bytes. Without the wait, a resumed stream could be cut again and again before its first token.
    static bool closeCut(reader& entry)
    {
        entry.blocked = entry.answer->pendingBytes() > 0;
        if (!entry.blocked)
            entry.answer->abort();
        return !entry.blocked;
    }

    bool servePoll(monotonic_time now, const event_poll& poll)
    {
        if (poll.answer->closed())
            return true;
        const auto page = model.cacheEvents(now, poll.from, maxCacheEventsPerAnswer);
        if (page.events.empty() && page.next >= poll.from && now < poll.deadline)
            return false;
        poll.answer->send(jsonResponse(200, writeCacheEvents(page)));
        return true;
    }

    void armTimer(monotonic_time now)
    {
        auto next = model.nextChange().value_or(monotonic_time::max());
        for (const auto& poll : polls)
            next = std::min({ next, poll.deadline, model.cacheEventVisibleAt(poll.from).value_or(monotonic_time::max()) });
        if (next == monotonic_time::max())
            return;
        next = std::max(next, now + options.tick);
        if (armedFor && *armedFor <= next)
            return;
        armedFor = next;
        timer.expires_at(next);
        timer.async_wait([this](boost::system::error_code status) {
            if (status)
                return;
            armedFor.reset();
            pump();
        });
    }

    engine_server_options options;
    std::shared_ptr<history_writer> history;
    engine_model model;
    server_core core;
    http_client client;
    boost::asio::steady_timer timer;
    std::optional<monotonic_time> armedFor;
    std::vector<std::shared_ptr<reader>> readers;
    std::vector<event_poll> polls;
    std::map<std::uint64_t, std::function<void()>> tasks;
    std::uint64_t generatedIds = 0;
    std::string buffer;
};

engine_server::engine_server(engine_server_options options, std::shared_ptr<history_writer> history)
    : m_implementation(std::make_unique<implementation>(std::move(options), std::move(history)))
{
}

engine_server::~engine_server() = default;

std::string engine_server::listen(const std::string& address)
{
    return m_implementation->core.listen(address);
}

} // namespace carawaylink
