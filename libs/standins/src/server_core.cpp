#include "server_core.h"

#include "base/log.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <future>

namespace carawaylink {

namespace {

/// A silent or paused connection must not be closed by a time limit of the server.
constexpr auto connectionLimit = std::chrono::hours(1);
/// Requests between two removals of ended replies from the list of open ones.
constexpr std::size_t sweepInterval = 1024;

http_server_limits serverLimits()
{
    http_server_limits limits;
    limits.idleTimeout = connectionLimit;
    limits.writeTimeout = connectionLimit;
    limits.maxBodyBytes = 64U << 20;
    return limits;
}

unsigned statusOf(error_kind kind)
{
    switch (kind) {
    case error_kind::not_found:
        return 404;
    case error_kind::conflict:
        return 409;
    case error_kind::limit_exceeded:
        return 429;
    case error_kind::unavailable:
        return 503;
    case error_kind::internal:
        return 500;
    default:
        return 400;
    }
}

} // namespace

void reply::send(http_response response)
{
    if (!m_silent)
        m_responder->send(std::move(response));
}

void reply::start(unsigned status, std::vector<http_header> headers)
{
    if (!m_silent)
        m_responder->start(status, std::move(headers));
}

void reply::write(std::string_view bytes)
{
    if (!m_silent)
        m_responder->write(bytes);
}

void reply::finish()
{
    if (!m_silent)
        m_responder->finish();
}

void reply::abort()
{
    if (!m_silent)
        m_responder->abort();
}

http_response errorAnswer(unsigned status, std::string_view type, std::string_view message)
{
    return jsonResponse(status, boost::json::serialize(boost::json::object { { "error", { { "type", type }, { "message", message } } } }));
}

server_core::server_core(hooks serverHooks)
    : m_threads(1)
    , m_hooks(std::move(serverHooks))
{
}

server_core::~server_core()
{
    stop();
}

std::string server_core::listen(const std::string& address)
{
    // On the thread of the loop, since requests can arrive before this function returns.
    std::promise<std::string> bound;
    post([&] {
        try {
            m_address = startServer(address);
            bound.set_value(m_address);
        } catch (...) {
            bound.set_exception(std::current_exception());
        }
    });
    return bound.get_future().get();
}

std::string server_core::startServer(const std::string& address)
{
    m_servers.push_back(std::make_unique<http_server>(
        m_threads, serverLimits(), [this, generation = m_generation](http_request request, std::shared_ptr<http_responder> responder) {
            receive(generation, std::move(request), std::move(responder));
        }));
    return m_servers.back()->listen(address);
}

void server_core::after(duration delay, std::function<void()> work)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(context(), delay);
    timer->async_wait([timer, work = std::move(work)](boost::system::error_code status) {
        if (!status)
            work();
    });
}

void server_core::sendAfter(duration delay, reply_pointer answer, http_response response)
{
    if (delay <= duration::zero()) {
        answer->send(std::move(response));
        return;
    }
    after(delay, [answer = std::move(answer), response = std::move(response)] { answer->send(response); });
}

void server_core::receive(std::uint64_t generation, http_request request, std::shared_ptr<http_responder> responder)
{
    if (request.path() == "/faults") {
        changeFaults(request, responder);
        return;
    }
    const auto answer = std::make_shared<reply>(std::move(responder));
    if (generation != m_generation) {
        answer->silence();
        m_silenced.push_back(answer);
        return;
    }
    if (m_open.size() % sweepInterval == sweepInterval - 1)
        std::erase_if(m_open, [](const auto& entry) { return entry.expired(); });
    m_open.push_back(answer);
    if (m_hooks.paused())
        m_held.emplace_back(std::move(request), answer);
    else
        handle(std::move(request), answer);
}

void server_core::handle(http_request request, const reply_pointer& answer)
{
    try {
        m_hooks.handle(std::move(request), answer);
    } catch (const error& failure) {
        answer->send(
            errorAnswer(statusOf(failure.kind()), errorKindNames.name(failure.kind()), failure.message() + "; " + failure.remedy()));
    }
}

void server_core::changeFaults(const http_request& request, const std::shared_ptr<http_responder>& responder)
{
    if (request.method == "POST") {
        const bool wasSilent = m_hooks.silent();
        try {
            m_hooks.applyFaults(request.body);
        } catch (const error& failure) {
            responder->send(errorAnswer(400, errorKindNames.name(failure.kind()), failure.message() + "; " + failure.remedy()));
            return;
        }
        log_event("faults_changed").field("address", m_address).field("faults", m_hooks.faults());
        if (!wasSilent && m_hooks.silent())
            silenceConnections();
    }
    responder->send(jsonResponse(200, m_hooks.faults()));
    if (!m_hooks.paused()) {
        for (auto& [held, answer] : std::exchange(m_held, {}))
            handle(std::move(held), answer);
    }
}

// The HTTP server does not tell connections apart, so a new server takes over the port: a request that reaches the old one
// came on a connection that is silent. Connections are refused for the moment between the two.
void server_core::silenceConnections()
{
    std::erase_if(m_silenced, [](const auto& entry) { return entry->closed(); });
    for (const auto& entry : std::exchange(m_open, {})) {
        if (const auto answer = entry.lock()) {
            answer->silence();
            m_silenced.push_back(answer);
        }
    }
    m_held.clear();
    ++m_generation;
    m_servers.back()->stopAccepting();
    post([this] {
        try {
            startServer(m_address);
        } catch (const error& failure) {
            log_event("listen_failed", log_level::error).field("address", m_address).field("error", failure.what());
        }
    });
}

} // namespace carawaylink
