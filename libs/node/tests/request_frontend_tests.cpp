#include "node_fixture.h"

#include <future>

namespace carawaylink {
namespace {

class request_frontend_test : public node_fixture {
protected:
    static void expectRefusal(const http_response& response, unsigned status, const std::string& type)
    {
        EXPECT_EQ(response.status, status) << type << ": " << response.body;
        const auto body = parse(response.body);
        ASSERT_TRUE(body.is_object() && body.as_object().contains("error")) << type << ": " << response.body;
        const auto& error = body.at("error").as_object();
        EXPECT_EQ(error.at("type").as_string(), type) << response.body;
        EXPECT_EQ(error.at("ran").as_string(), "no") << response.body;
        EXPECT_FALSE(error.at("message").as_string().empty()) << type;
        EXPECT_FALSE(error.at("remedy").as_string().empty()) << type;
    }
    static http_request completionWith(const std::string& body, std::vector<http_header> headers = key())
    {
        return { "POST", "/v1/completions", std::move(headers), body };
    }
    /// Parses the status and body of a raw HTTP response.
    static http_response bodyOf(const std::string& response)
    {
        const auto space = response.find(' ');
        const auto end = response.find("\r\n\r\n");
        if (space == std::string::npos || end == std::string::npos)
            return { 0, {}, response };
        return { static_cast<unsigned>(std::stoul(response.substr(space + 1, 3))), {}, response.substr(end + 4) };
    }
};

// Guards against refusals without a reason that the caller can act on, and against invalid requests that affect running ones.
TEST_F(request_frontend_test, bad_requests_get_typed_errors_with_a_remedy_and_disturb_nothing)
{
    const auto address = startNode("d1").httpAddress();
    awaitServing();
    auto running = std::async(std::launch::async, [&] { return call(address, completion("running", 600, true)); });
    waitUntil([&] { return historyCount("\"started\"", "") > historyCount("\"finished\"", ""); });
    const auto received = historyCount("\"received\"", "");

    const std::string valid = R"({"model":"large","prompt":"x","max_tokens":1})";
    const auto with = [&](const std::string& name, const std::string& value) {
        auto headers = key();
        headers.push_back({ name, value });
        return completionWith(valid, headers);
    };
    struct bad_request {
        http_request request;
        unsigned status;
        std::string type;
    };
    std::string deep(5000, '[');
    const std::vector<bad_request> cases {
        { completionWith("{"), 400, "malformed_json" },
        { completionWith(""), 400, "malformed_json" },
        { completionWith("[]"), 400, "malformed_json" },
        { completionWith(deep), 400, "malformed_json" },
        { completionWith(R"({"prompt":"x"})"), 400, "invalid_request" },
        { completionWith(R"({"model":"large"})"), 400, "invalid_request" },
        { completionWith(R"({"model":"large","prompt":7})"), 400, "invalid_request" },
        { completionWith(R"({"model":"large","prompt":"x","max_tokens":0})"), 400, "invalid_request" },
        { completionWith(R"({"model":"large","prompt":"x","max_tokens":9223372036854775807})"), 400, "invalid_request" },
        { completionWith(R"({"model":"large","prompt":"x","stream":"yes"})"), 400, "invalid_request" },
        { completionWith(R"({"model":"none","prompt":"x"})"), 404, "unknown_model" },
        { completionWith(R"({"model":"desk","prompt":"x"})"), 404, "unknown_model" },
        { completionWith(valid, {}), 401, "missing_key" },
        { completionWith(valid, { { "Authorization", "Bearer other" } }), 401, "unknown_key" },
        { with("X-Carawaylink-Tier", "0"), 403, "tier_not_allowed" },
        { with("X-Carawaylink-Tier", "9"), 400, "unknown_tier" },
        { with("X-Carawaylink-Tier", "-1"), 400, "invalid_header" },
        { with("X-Carawaylink-Deadline-Ms", "soon"), 400, "invalid_header" },
        { with("X-Carawaylink-Idempotent", "maybe"), 400, "invalid_header" },
        { with("X-Carawaylink-Idempotent", "false"), 428, "ticket_required" },
        { with("X-Carawaylink-Ticket", "nonsense"), 400, "invalid_ticket" },
        { { "POST", "/services/desk/orders", key(), "{}" }, 428, "ticket_required" },
        { { "GET", "/services/none/x", key(), {} }, 404, "unknown_service" },
        { { "GET", "/v1/completions", key(), {} }, 405, "wrong_method" },
        { { "GET", "/nothing", key(), {} }, 404, "unknown_path" },
        { { "GET", "/v1/entry?tickets=101", key(), {} }, 400, "invalid_query" },
        { { "GET", "/v1/entry?tickets=-1", key(), {} }, 400, "invalid_query" },
        { { "GET", "/admin/status", key(), {} }, 401, "operator_key_required" },
    };
    for (const auto& entry : cases)
        expectRefusal(call(address, entry.request), entry.status, entry.type);
    EXPECT_EQ(historyCount("\"received\"", ""), received);
    EXPECT_EQ(streamedText(running.get().body), expectedText("running", 600));
}

// Guards against callers that occupy memory or a connection without limit, and against refusals without a type.
TEST_F(request_frontend_test, oversized_and_slow_requests_get_typed_errors)
{
    const auto address = startNode("d1").httpAddress();
    awaitServing();
    const std::string start = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-t\r\n";
    struct raw_request {
        std::string bytes;
        unsigned status;
        std::string type;
    };
    const std::vector<raw_request> cases {
        { start + "Content-Length: 30000\r\n\r\n", 413, "body_too_large" },
        { start + "X: " + std::string(4000, 'a') + "\r\n\r\n", 431, "header_too_large" },
        { start + "X-Slow", 408, "request_timeout" },
        { start + "Content-Length: 100\r\n\r\n{", 408, "request_timeout" },
        { "nonsense\r\n\r\n", 400, "malformed_request" },
    };
    for (const auto& entry : cases)
        expectRefusal(bodyOf(raw_client(address, entry.bytes).readAll()), entry.status, entry.type);
    EXPECT_EQ(call(address, completion("after", 1, false)).status, 200U);
}

} // namespace
} // namespace carawaylink
