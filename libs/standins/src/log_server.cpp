#include "standins/log_server.h"

#include "query.h"
#include "server_core.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <openssl/evp.h>
#include <optional>

namespace carawaylink {

namespace json = boost::json;

namespace {

std::string base64(const std::string& data)
{
    std::string text(4 * ((data.size() + 2) / 3) + 1, '\0');
    const auto size = EVP_EncodeBlock(
        reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<const unsigned char*>(data.data()), static_cast<int>(data.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

/// NAME of "/streams/NAME/records".
std::optional<std::string> streamName(std::string_view path)
{
    constexpr std::string_view prefix = "/streams/";
    constexpr std::string_view suffix = "/records";
    if (!path.starts_with(prefix) || !path.ends_with(suffix) || path.size() <= prefix.size() + suffix.size())
        return std::nullopt;
    return std::string(path.substr(prefix.size(), path.size() - prefix.size() - suffix.size()));
}

/// A read that waits for the next record.
struct record_poll {
    std::string stream;
    log_offset from;
    reply_pointer answer;
};

monotonic_time clockNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

struct log_server::implementation {
    implementation(const log_options& options, std::shared_ptr<history_writer> historyWriter)
        : history(std::move(historyWriter))
        , model(options)
        , weights(options.weightLoads, options.weightLoadTime)
        , core({ .handle = [this](http_request request, const reply_pointer& answer) { handle(std::move(request), answer); },
              .faults = [this] { return model.faults().toJson(); },
              .applyFaults = [this](std::string_view changes) { applyFaults(changes); },
              .paused = [this] { return model.faults().on(log_fault::pause); },
              .silent = [this] { return model.faults().on(log_fault::silent_connections); } })
    {
    }

    ~implementation() { core.stop(); }

    void applyFaults(std::string_view changes)
    {
        model.applyFaults(changes);
        if (model.faults().on(log_fault::pause))
            return;
        for (const auto& poll : std::exchange(polls, {})) {
            if (!answerPoll(*poll))
                polls.push_back(poll);
        }
    }

    void handle(http_request request, const reply_pointer& answer)
    {
        const auto path = request.path();
        if (request.method == "POST" && path.starts_with("/weights/")) {
            loadWeights(answer);
            return;
        }
        const auto stream = streamName(path);
        if (!stream)
            answer->send(errorAnswer(404, "not_found", "no such route: " + request.method + " " + std::string(path)));
        else if (model.faults().on(log_fault::down))
            answer->send(downAnswer());
        else if (request.method == "POST")
            append(*stream, request, answer);
        else
            read(*stream, request, answer);
    }

    static http_response downAnswer() { return errorAnswer(503, "log_down", "the log is down"); }

    void append(const std::string& stream, http_request& request, const reply_pointer& answer)
    {
        const auto now = clockNow();
        const auto id = std::string(request.header("X-Append-Id").value_or(""));
        const auto appended = model.append(now, stream, id, std::move(request.body));
        if (appended.result == log_model::append_result::kind::rate_limited) {
            auto response = errorAnswer(429, "rate_limited", "the append rate of the log is exceeded");
            response.headers.push_back({ "Retry-After", "1" });
            const auto milliseconds = std::ceil(std::chrono::duration<double, std::milli>(appended.retryAfter).count());
            response.headers.push_back({ "X-Retry-After-Ms", std::to_string(static_cast<std::int64_t>(milliseconds)) });
            core.sendAfter(model.delay(), answer, std::move(response));
            return;
        }
        if (history->enabled())
            history->append(
                json::serialize(json::object { { "source", "log" }, { "endpoint", core.address() }, { "t_us", steadyMicroseconds(now) },
                    { "event", "appended" }, { "stream", stream }, { "offset", appended.offset.value }, { "id", id } }));
        if (appended.result == log_model::append_result::kind::answer_lost)
            core.after(model.delay(), [answer] { answer->abort(); });
        else
            core.sendAfter(model.delay(), answer, jsonResponse(200, json::serialize(json::object { { "offset", appended.offset.value } })));
        std::erase_if(polls, [&](const auto& poll) { return poll->stream == stream && answerPoll(*poll); });
    }

    void read(const std::string& stream, const http_request& request, const reply_pointer& answer)
    {
        const auto wait = queryWait(request);
        const auto poll = std::make_shared<record_poll>(record_poll { stream, log_offset(queryNumber(request, "from")), answer });
        if (answerPoll(*poll, wait <= std::chrono::milliseconds(0)))
            return;
        polls.push_back(poll);
        core.after(wait, [this, weak = std::weak_ptr(poll)] {
            const auto expired = weak.lock();
            if (!expired || model.faults().on(log_fault::pause))
                return;
            answerPoll(*expired, true);
            std::erase(polls, expired);
        });
    }

    /// Answers a read where there is something to say; returns whether it did.
    bool answerPoll(const record_poll& poll, bool evenEmpty = false)
    {
        if (poll.answer->closed() || poll.answer->silent())
            return true;
        if (model.faults().on(log_fault::down)) {
            poll.answer->send(downAnswer());
            return true;
        }
        const auto page = model.read(clockNow(), poll.stream, poll.from);
        if (!page.gone && page.records.empty() && !evenEmpty)
            return false;
        json::object body { { "first", page.first.value }, { "next", page.next.value } };
        if (!page.gone) {
            json::array records;
            for (const auto& record : page.records)
                records.push_back({ { "offset", record.offset.value }, { "id", record.id }, { "data", base64(record.data) } });
            body["records"] = std::move(records);
        }
        core.sendAfter(model.delay(), poll.answer, jsonResponse(page.gone ? 410 : 200, json::serialize(body)));
        return true;
    }

    void loadWeights(const reply_pointer& answer)
    {
        const auto now = clockNow();
        const auto end = weights.begin(now);
        if (!end) {
            auto response = errorAnswer(429, "weight_store_busy", "the weight store is at its limit of loads");
            response.headers.push_back({ "Retry-After", "1" });
            answer->send(std::move(response));
            return;
        }
        core.sendAfter(*end - now, answer, jsonResponse(200, R"({"loaded":true})"));
    }

    std::shared_ptr<history_writer> history;
    log_model model;
    weight_store_model weights;
    server_core core;
    std::vector<std::shared_ptr<record_poll>> polls;
};

log_server::log_server(log_options options, std::shared_ptr<history_writer> history)
    : m_implementation(std::make_unique<implementation>(options, std::move(history)))
{
}

log_server::~log_server() = default;

std::string log_server::listen(const std::string& address)
{
    return m_implementation->core.listen(address);
}

} // namespace carawaylink
