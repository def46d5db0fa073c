#pragma once

#include "base/error.h"
#include "http/client.h"
#include "standins/history.h"

#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <optional>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace carawaylink {

/// Client with kept-alive connections on an event loop that runs while a call is awaited.
class loopback_client {
public:
    http_result send(const std::string& address, http_request request, duration idle = std::chrono::seconds(5))
    {
        std::optional<http_result> result;
        m_client.send(address, std::move(request), options(idle), [&](http_result done) { result = std::move(done); });
        runUntil([&] { return result.has_value(); });
        return result.value_or(http_result { http_failure::idle });
    }

    struct streamed {
        http_result result;
        std::string text;
    };
    /// Calls onData with all bytes so far each time that bytes arrive.
    streamed stream(const std::string& address, http_request request, duration idle = std::chrono::seconds(5),
        const std::function<void(const std::string&)>& onData = {})
    {
        streamed answer;
        bool done = false;
        http_stream_handlers handlers;
        handlers.onData = [&](std::string_view bytes) {
            answer.text += bytes;
            if (onData)
                onData(answer.text);
        };
        handlers.onDone = [&](const http_result& result) {
            answer.result = result;
            done = true;
        };
        m_client.stream(address, std::move(request), options(idle), std::move(handlers));
        runUntil([&] { return done; });
        return answer;
    }

private:
    static http_call_options options(duration idle)
    {
        http_call_options result;
        result.idleTimeout = idle;
        return result;
    }

    template <typename Condition> void runUntil(Condition done)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        m_context.restart();
        while (!done() && std::chrono::steady_clock::now() < end) {
            if (m_context.run_one_until(end) == 0)
                break;
        }
        if (!done())
            ADD_FAILURE() << "no response within 20 s";
    }

    boost::asio::io_context m_context { 1 };
    http_client m_client { m_context };
};

inline void setFaults(const std::string& address, const std::string& json)
{
    EXPECT_EQ(blocking_http_client().send(address, { "POST", "/faults", {}, json }, std::chrono::seconds(5)).status, 200U) << json;
}

/// History file that is removed at the end.
class history_file {
public:
    explicit history_file(const std::string& name)
        : m_path(std::filesystem::temp_directory_path() / (name + "." + std::to_string(::getpid()) + ".jsonl"))
    {
    }
    ~history_file() { std::filesystem::remove(m_path); }

    std::shared_ptr<history_writer> writer() const { return std::make_shared<history_writer>(m_path.string()); }
    std::string text() const
    {
        std::ostringstream content;
        content << std::ifstream(m_path).rdbuf();
        return content.str();
    }

private:
    std::filesystem::path m_path;
};

inline std::size_t count(const std::string& text, const std::string& part)
{
    std::size_t found = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size()))
        ++found;
    return found;
}

} // namespace carawaylink
