#pragma once

#include "http/server.h"

#include <atomic>
#include <boost/json.hpp>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace carawaylink::load {

/// A node, engine and plain service in one, which answers as told.
class fake_node {
public:
    enum class behaviour {
        whole,
        break_midway,
        end_without_done,
        repeat_token,
        refuse_overload,
        refuse_draining,
    };

    explicit fake_node(const std::string& listenAddress = "127.0.0.1:0", std::size_t threads = 1)
        : m_threads(threads)
        , m_server(m_threads, {}, [this](http_request request, std::shared_ptr<http_responder> responder) { handle(request, *responder); })
    {
        m_address = m_server.listen(listenAddress);
    }

    const std::string& address() const { return m_address; }
    void setAddresses(std::vector<std::string> addresses)
    {
        const std::lock_guard lock(m_mutex);
        m_addresses = std::move(addresses);
    }
    /// Behaviour of the first calls; later ones are answered whole.
    void behave(behaviour kind, int times)
    {
        m_kind = kind;
        m_times = times;
    }

    std::vector<http_request> seen(std::string_view path) const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<http_request> result;
        for (const auto& request : m_seen) {
            if (request.path() == path)
                result.push_back(request);
        }
        return result;
    }
    void keepRequests(bool keep) { m_keep = keep; }

private:
    void handle(const http_request& request, http_responder& responder)
    {
        if (m_keep) {
            const std::lock_guard lock(m_mutex);
            m_seen.push_back(request);
        }
        if (request.path() == "/v1/entry") {
            sendEntry(request, responder);
            return;
        }
        const auto kind = m_times.fetch_sub(1) > 0 ? m_kind.load() : behaviour::whole;
        if (kind == behaviour::refuse_overload || kind == behaviour::refuse_draining) {
            const auto type = kind == behaviour::refuse_draining ? "draining" : "queue_full";
            responder.send(jsonResponse(kind == behaviour::refuse_draining ? 503 : 429,
                std::string(R"({"error":{"type":")") + type + R"(","message":"no","ran":"no","retry_after_ms":10}})"));
            return;
        }
        if (request.path() == "/v1/completions") {
            sendTokens(request, responder, kind);
            return;
        }
        if (kind == behaviour::break_midway) {
            responder.abort();
            return;
        }
        responder.send(jsonResponse(200, R"({"call":")" + std::string(request.header("X-Call-Id").value_or("")) + R"("})"));
    }

    void sendEntry(const http_request& request, http_responder& responder)
    {
        boost::json::array addresses;
        boost::json::array tickets;
        {
            const std::lock_guard lock(m_mutex);
            for (const auto& address : m_addresses.empty() ? std::vector { m_address } : m_addresses)
                addresses.emplace_back(address);
        }
        const auto wanted = std::stoi(request.query("tickets").value_or("0"));
        for (int i = 0; i < wanted; ++i)
            tickets.emplace_back("t" + std::to_string(m_nextTicket++));
        const boost::json::object body { { "addresses", addresses }, { "lifetime_ms", 2000 }, { "tickets", tickets } };
        responder.send(jsonResponse(200, boost::json::serialize(body)));
    }

    static void sendTokens(const http_request& request, http_responder& responder, behaviour kind)
    {
        const auto body = boost::json::parse(request.body).as_object();
        const std::string user(body.at("user").as_string());
        const auto count = body.at("max_tokens").as_int64();
        responder.start(200, { { "Content-Type", "text/event-stream" }, { "X-Carawaylink-Request", "q-" + user } });
        for (std::int64_t i = 0; i < count; ++i) {
            if (kind == behaviour::break_midway && i == count / 2) {
                responder.abort();
                return;
            }
            const auto token = kind == behaviour::repeat_token && i == 1 ? 0 : i;
            const auto id = std::to_string(token);
            responder.write("id: " + id + "\ndata: {\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":\"" + user + ":" + id
                + " \",\"finish_reason\":null}]}\n\n");
        }
        responder.write("data: {\"choices\":[],\"usage\":{\"completion_tokens\":" + std::to_string(count) + "}}\n\n");
        if (kind != behaviour::end_without_done)
            responder.write("data: [DONE]\n\n");
        responder.finish();
    }

    mutable std::mutex m_mutex;
    std::vector<http_request> m_seen;
    std::vector<std::string> m_addresses;
    std::atomic<bool> m_keep = true;
    std::atomic<behaviour> m_kind = behaviour::whole;
    std::atomic<int> m_times = 0;
    std::atomic<int> m_nextTicket = 0;
    std::string m_address;
    io_threads m_threads;
    http_server m_server;
};

} // namespace carawaylink::load
