#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "cli/admin_messages.h"
#include "http/message.h"

#include <algorithm>
#include <chrono>
#include <concepts>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace carawaylink {

/// Sends one request and waits for the response; throws error(unavailable) or error(timeout) where there is none.
template <typename Transport>
concept http_transport = requires(Transport transport, const std::string& address, const http_request& request, duration timeout)
{
    {
        transport.send(address, request, timeout)
        } -> std::same_as<http_response>;
};

/// Time and random ids, so that tests need neither sleeps nor chance.
template <typename Platform>
concept cli_platform = requires(Platform platform, duration wait)
{
    {
        platform.now()
        } -> std::same_as<monotonic_time>;
    { platform.sleep(wait) };
    {
        platform.utcNow()
        } -> std::same_as<std::chrono::sys_seconds>;
    {
        platform.newId()
        } -> std::same_as<std::string>;
};

/// None of the nodes gave a response.
class no_node_answered : public error {
public:
    using error::error;
};

/// Speaks to the operator interface of the first node that answers, and stays with it.
template <http_transport Transport> class admin_client {
public:
    /// `nodes` must not be empty for a request. `timeout` gives the time for one attempt and is asked before each.
    admin_client(Transport& transport, std::vector<std::string> nodes, const std::string& key, std::function<duration()> timeout)
        : m_transport(transport)
        , m_nodes(std::move(nodes))
        , m_key(key)
        , m_timeout(std::move(timeout))
    {
    }

    /// Returns the response whatever its status; tries the other nodes in turn where one does not answer.
    /// A request may have taken effect at a node that did not answer, so it has to be safe to repeat.
    http_response send(const std::string& method, const std::string& target, const std::string& body)
    {
        std::string failures;
        for (std::size_t tried = 0; tried < m_nodes.size(); ++tried) {
            try {
                return sendTo(m_nodes.front(), method, target, body);
            } catch (const error& failure) {
                if (failure.kind() != error_kind::unavailable && failure.kind() != error_kind::timeout)
                    throw;
                failures += (failures.empty() ? "" : "; ") + m_nodes.front() + ": " + failure.message();
            }
            std::rotate(m_nodes.begin(), m_nodes.begin() + 1, m_nodes.end());
        }
        throw no_node_answered(
            error_kind::unavailable, "no node answered: " + failures, "check the addresses after --node and that a node runs there");
    }

    /// As send(), and throws error with the message of the node for a status of 300 or more.
    std::string get(const std::string& target) { return expectSuccess(send("GET", target, "")); }

    /// As send(), but to the first node only: for requests that concern the node itself or must not be repeated.
    http_response sendToFirst(const std::string& method, const std::string& target, const std::string& body)
    {
        try {
            return sendTo(m_nodes.front(), method, target, body);
        } catch (const error& failure) {
            if (failure.kind() == error_kind::unavailable || failure.kind() == error_kind::timeout)
                throw no_node_answered(failure.kind(), failure.message(), failure.remedy());
            throw;
        }
    }

    static std::string expectSuccess(const http_response& response)
    {
        if (response.status < 300)
            return response.body;
        const auto failure = parseAdminFailure(response.status, response.body);
        // Kinds that stand for a missing response are not used here.
        const auto kind = response.status == 401 || response.status == 403 ? error_kind::unauthorized
            : response.status == 404                                       ? error_kind::not_found
                                                                           : error_kind::conflict;
        throw error(kind, failure.message, failure.remedy);
    }

private:
    http_response sendTo(const std::string& node, const std::string& method, const std::string& target, const std::string& body)
    {
        http_request request { method, target, { { "Authorization", "Bearer " + m_key } }, body };
        if (!body.empty())
            request.headers.push_back({ "Content-Type", "application/json" });
        return m_transport.send(node, request, m_timeout());
    }

    Transport& m_transport;
    std::vector<std::string> m_nodes;
    std::string m_key;
    std::function<duration()> m_timeout;
};

} // namespace carawaylink
