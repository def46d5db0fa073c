#pragma once

#include "config/record.h"
#include "crypto/digest.h"
#include "event_loop.h"
#include "http/client.h"
#include "node/node.h"
#include "settings/settings.h"
#include "standins/engine_server.h"
#include "standins/log_server.h"
#include "standins/service_server.h"
#include "standins/vm_list_server.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace carawaylink {

/// Runs nodes, an engine, a plain service, the log and the list of vms in one process.
class node_fixture : public testing::Test {
protected:
    node_fixture()
    {
        engine_server_options options;
        options.engine.model = "llm";
        options.engine.tokenTime = std::chrono::milliseconds(1);
        options.engine.tokenTimePerSequence = {};
        engine = std::make_unique<engine_server>(options, std::make_shared<history_writer>(engineHistory.string()));
        engineAddress = engine->listen("127.0.0.1:0");
        serviceAddress = service.listen("127.0.0.1:0");
        vmsAddress = vms.listen("127.0.0.1:0");
        logAddress = log.listen("127.0.0.1:0");
        for (const auto& [address, name] : { std::pair(engineAddress, "llm"), std::pair(serviceAddress, "desk") })
            call(vmsAddress,
                { "POST", "/vms", {},
                    R"({"vms":[{"address":")" + address + R"(","role":"endpoint","service":")" + name
                        + R"(","state":"live","failure_domain":"d1"}]})" });
        const config_record record { "first", "test", config_version(0), config_record_kind::change, configuration(), {} };
        call(logAddress, { "POST", "/streams/config/records", { { "X-Append-Id", "first" } }, toJson(record) });
    }
    ~node_fixture() override
    {
        nodes.clear();
        engine.reset();
        std::filesystem::remove(engineHistory);
    }

    static std::string configuration()
    {
        return "tiers:\n  - {level: 0, name: urgent, deadline_ms: 20000}\n  - {level: 1, name: normal, deadline_ms: 20000}\n"
               "teams:\n  - name: t\n    key_sha256: ["
            + sha256Hex("key-t")
            + "]\n    highest_tier: 1\n    default_tier: 1\nservices:\n  - {name: llm, kind: engine, models: [large]}\n"
              "  - {name: desk, kind: plain}\n";
    }

    node& startNode(const std::string& domain)
    {
        const auto seeds = nodes.empty() ? std::string() : '"' + nodes.front()->nodeAddress() + '"';
        const auto text = "cluster: test\nnode_address: 127.0.0.1:0\nhttp_address: 127.0.0.1:0\nfailure_domain: " + domain
            + "\nregion: r\nseeds: [" + seeds + "]\nlog_address: " + logAddress + "\nvm_list_address: " + vmsAddress
            + "\ncluster_keys:\n  - {id: k, secret: secret-of-the-test-cluster}\noperator_keys:\n  - {name: o, sha256: "
            + sha256Hex("operator-key") + "}\n";
        settings_report report;
        auto settings = loadDaemonSettings(text, report);
        EXPECT_TRUE(settings) << toString(report);
        settings->timing->entry_lifetime_ms = 300;
        settings->timing->vm_list_poll_ms = 50;
        settings->limits->max_body_bytes = 20000;
        settings->limits->max_header_bytes = 2000;
        settings->limits->header_timeout_ms = 300;
        settings->limits->body_timeout_ms = 300;
        nodes.push_back(std::make_unique<node>(*settings));
        nodes.back()->start();
        return *nodes.back();
    }
    /// Waits until every node serves both services and knows all other nodes.
    void awaitServing()
    {
        for (const auto& entry : nodes) {
            waitUntil([&] {
                const auto addresses = parse(call(entry->httpAddress(), { "GET", "/v1/entry", key(), {} }).body);
                const auto* list = addresses.is_object() ? addresses.as_object().if_contains("addresses") : nullptr;
                return list && list->as_array().size() == nodes.size();
            });
            waitUntil([&] { return call(entry->httpAddress(), completion("ready", 1, false)).status == 200; });
            waitUntil([&] { return call(entry->httpAddress(), { "GET", "/services/desk/x", key(), {} }).status == 200; });
        }
    }

    static http_response call(const std::string& address, const http_request& request)
    {
        try {
            return blocking_http_client().send(address, request, std::chrono::seconds(15));
        } catch (const std::exception& failure) {
            return { 0, {}, failure.what() };
        }
    }
    static boost::json::value parse(const std::string& body)
    {
        boost::system::error_code status;
        return boost::json::parse(body, status);
    }
    static std::vector<http_header> key() { return { { "Authorization", "Bearer key-t" } }; }
    static http_request completion(const std::string& user, int maxTokens, bool stream, std::vector<http_header> more = {})
    {
        auto headers = key();
        headers.insert(headers.end(), more.begin(), more.end());
        return { "POST", "/v1/completions", std::move(headers),
            boost::json::serialize(boost::json::object { { "model", "large" }, { "prompt", "say something" }, { "max_tokens", maxTokens },
                { "stream", stream }, { "user", user } }) };
    }
    /// The engine's output text: "USER:0 USER:1 ...".
    static std::string expectedText(const std::string& user, int count)
    {
        std::string text;
        for (int i = 0; i < count; ++i)
            text += user + ":" + std::to_string(i) + " ";
        return text;
    }
    /// Concatenated token text of a streamed response, or nothing if [DONE] is missing.
    static std::optional<std::string> streamedText(const std::string& events, bool chat = false)
    {
        std::string text;
        bool done = false;
        std::size_t position = 0;
        while ((position = events.find("data: ", position)) != std::string::npos) {
            position += 6;
            const auto data = events.substr(position, events.find("\n", position) - position);
            done = done || data == "[DONE]";
            const auto document = parse(data);
            const auto* object = document.if_object();
            const auto* choices = object ? object->if_contains("choices") : nullptr;
            if (!choices || choices->as_array().empty())
                continue;
            const auto& choice = choices->as_array().front().as_object();
            const auto* holder = chat ? choice.at("delta").if_object() : &choice;
            if (const auto* part = holder ? holder->if_contains(chat ? "content" : "text") : nullptr; part && part->is_string())
                text += part->as_string();
        }
        return done ? std::optional(text) : std::nullopt;
    }
    std::string issueTicket(const node& home) const
    {
        const auto body = parse(call(home.httpAddress(), { "GET", "/v1/entry?tickets=1", key(), {} }).body);
        return std::string(body.at("tickets").as_array().at(0).as_string());
    }
    /// Number of lines of the engine's history that contain both texts.
    std::size_t historyCount(const std::string& first, const std::string& second) const
    {
        std::ifstream file(engineHistory);
        std::size_t result = 0;
        for (std::string line; std::getline(file, line);)
            result += line.find(first) != std::string::npos && line.find(second) != std::string::npos ? 1 : 0;
        return result;
    }

    const std::filesystem::path engineHistory = std::filesystem::temp_directory_path()
        / ("node_fixture." + std::to_string(::getpid()) + "." + testing::UnitTest::GetInstance()->current_test_info()->name() + ".jsonl");
    std::unique_ptr<engine_server> engine;
    service_server service { { .name = "desk" }, std::make_shared<history_writer>("") };
    vm_list_server vms { {}, std::make_shared<history_writer>("") };
    log_server log { {}, std::make_shared<history_writer>("") };
    std::string engineAddress;
    std::string serviceAddress;
    std::string vmsAddress;
    std::string logAddress;
    std::vector<std::unique_ptr<node>> nodes;
};

/// A raw connection of a caller that reads only when the test requests it.
class raw_client {
public:
    raw_client(const std::string& address, const std::string& bytes)
        : m_socket(m_context)
    {
        const auto parsed = parseAddress(address);
        m_socket.open(boost::asio::ip::tcp::v4());
        // With a small receive window the sender blocks after a few kilobytes.
        m_socket.set_option(boost::asio::socket_base::receive_buffer_size(4096));
        m_socket.connect({ boost::asio::ip::make_address(parsed.ip), parsed.port });
        boost::system::error_code ignored;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
    }
    static std::string text(const http_request& request)
    {
        std::string result = request.method + " " + request.target
            + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\n";
        for (const auto& header : request.headers)
            result += header.name + ": " + header.value + "\r\n";
        return result + "\r\n" + request.body;
    }
    void readSome()
    {
        std::array<char, 512> bytes {};
        boost::system::error_code status;
        const auto size = m_socket.read_some(boost::asio::buffer(bytes), status);
        received.append(bytes.data(), size);
    }
    const std::string& readAll()
    {
        boost::system::error_code status;
        boost::asio::read(m_socket, boost::asio::dynamic_buffer(received), status);
        return received;
    }
    void close() { m_socket.close(); }

    std::string received;

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
};

} // namespace carawaylink
