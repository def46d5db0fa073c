#include "loopback.h"
#include "standins/log_server.h"
#include "standins/service_server.h"
#include "standins/vm_list_server.h"

#include <gmock/gmock.h>

namespace carawaylink {
namespace {

using namespace std::chrono_literals;
using testing::HasSubstr;

class service_loopback : public testing::Test { };

// Guards against lost answers that leave no trace in the history, which decides whether a call ran at most once.
TEST_F(service_loopback, lost_answer_is_in_the_history_as_executed)
{
    const history_file history("service_loopback");
    service_server server({ .name = "desk" }, history.writer());
    const auto address = server.listen("127.0.0.1:0");
    loopback_client client;
    EXPECT_EQ(client.send(address, { "GET", "/seats/4" }).response.body, R"({"service":"desk","path":"/seats/4"})");
    const auto answer = client.send(address, { "POST", "/orders", { { "X-Call-Id", "c1" } }, "{}" });
    EXPECT_EQ(answer.response.body, R"({"service":"desk","path":"/orders","call":"c1","execution":1})");
    setFaults(address, R"({"lose_answer_share":1})");
    EXPECT_EQ(client.send(address, { "POST", "/orders", {}, R"({"call":"c2"})" }).failure, http_failure::broken);
    setFaults(address, R"({"lose_answer_share":0,"fail_share":1})");
    EXPECT_EQ(client.send(address, { "POST", "/orders", {}, R"({"call":"c3"})" }).response.status, 500U);
    EXPECT_EQ(count(history.text(), R"("event":"executed","path":"/orders","call":"c1")"), 1U);
    EXPECT_EQ(count(history.text(), R"("event":"executed","path":"/orders","call":"c2")"), 1U);
    EXPECT_EQ(count(history.text(), "\n"), 2U);
}

// Guards against a service that answers while paused or takes calls while it leaves.
TEST_F(service_loopback, paused_and_leaving_services_execute_nothing)
{
    const history_file history("service_loopback");
    service_server server({}, history.writer());
    const auto address = server.listen("127.0.0.1:0");
    loopback_client client;
    client.send(address, { "POST", "/leave" });
    const auto refused = client.send(address, { "POST", "/x" }).response;
    EXPECT_EQ(refused.status, 503U);
    EXPECT_EQ(refused.header("X-Engine-Leaving"), "1");
    setFaults(address, R"({"leaving":false,"pause":true})");
    EXPECT_EQ(client.send(address, { "POST", "/x" }, 200ms).failure, http_failure::idle);
    EXPECT_EQ(count(history.text(), "executed"), 0U);
    EXPECT_EQ(count(history.text(), R"("event":"leaving")"), 1U);
    EXPECT_EQ(count(history.text(), R"("event":"live")"), 1U);
}

class log_loopback : public testing::Test {
protected:
    static http_request append(const std::string& id, const std::string& data)
    {
        return { "POST", "/streams/config/records", { { "X-Append-Id", id } }, data };
    }

    static http_request read(int from, int waitMs)
    {
        return { "GET", "/streams/config/records?from=" + std::to_string(from) + "&wait_ms=" + std::to_string(waitMs) };
    }

    history_file history { "log_loopback" };
    loopback_client client;
};

// Guards against reads that return before there is a record, and against records that change on the way.
TEST_F(log_loopback, read_waits_for_the_next_record)
{
    log_server server({}, history.writer());
    const auto address = server.listen("127.0.0.1:0");
    EXPECT_EQ(client.send(address, read(0, 1)).response.body, R"({"first":0,"next":0,"records":[]})");
    boost::asio::io_context context;
    http_client waiting(context);
    std::string body;
    waiting.send(address, read(0, 20000), {}, [&](const http_result& result) { body = result.response.body; });
    context.run_for(100ms);
    EXPECT_EQ(body, "");
    EXPECT_EQ(client.send(address, append("a1", std::string("\0\xff\n", 3))).response.body, R"({"offset":0})");
    context.run_for(5s);
    EXPECT_EQ(body, R"({"first":0,"next":1,"records":[{"offset":0,"id":"a1","data":"AP8K"}]})");
}

// Guards against faults of the log that the configuration and the order leases must survive.
TEST_F(log_loopback, outage_lost_answer_and_truncation)
{
    log_server server({}, history.writer());
    const auto address = server.listen("127.0.0.1:0");
    setFaults(address, R"({"lose_answer_share":1})");
    EXPECT_EQ(client.send(address, append("a1", "x")).failure, http_failure::broken);
    setFaults(address, R"({"lose_answer_share":0,"down":true})");
    EXPECT_EQ(client.send(address, append("a2", "y")).response.status, 503U);
    EXPECT_EQ(client.send(address, read(0, 0)).response.status, 503U);
    setFaults(address, R"({"down":false})");
    EXPECT_EQ(client.send(address, read(0, 0)).response.body, R"({"first":0,"next":1,"records":[{"offset":0,"id":"a1","data":"eA=="}]})");
    setFaults(address, R"({"truncate_before":1})");
    const auto gone = client.send(address, read(0, 1000)).response;
    EXPECT_EQ(gone.status, 410U);
    EXPECT_EQ(gone.body, R"({"first":1,"next":1})");
    EXPECT_EQ(count(history.text(), R"("event":"appended","stream":"config","offset":0,"id":"a1")"), 1U);
    EXPECT_EQ(count(history.text(), "\n"), 1U);
}

// Guards against limits that are not told to the caller.
TEST_F(log_loopback, rate_limit_and_weight_store_limit_are_answered_with_429)
{
    log_options options;
    options.appendsPerSecond = 0.001;
    options.weightLoads = 0;
    log_server server(options, history.writer());
    const auto address = server.listen("127.0.0.1:0");
    http_response last;
    for (int i = 0; i < 11; ++i)
        last = client.send(address, append("a", "x")).response;
    EXPECT_EQ(last.status, 429U);
    EXPECT_TRUE(last.header("Retry-After").has_value());
    EXPECT_EQ(client.send(address, { "POST", "/weights/big" }).response.status, 429U);
}

class vm_list_loopback : public testing::Test { };

// Guards against entries that are lost, accepted with wrong values, or listed while the list is down.
TEST_F(vm_list_loopback, entries_are_added_replaced_and_removed)
{
    const history_file history("vm_list_loopback");
    vm_list_server server({}, history.writer());
    const auto address = server.listen("127.0.0.1:0");
    loopback_client client;
    const auto post = [&](const std::string& body) { return client.send(address, { "POST", "/vms", {}, body }).response; };
    const auto list = [&] { return client.send(address, { "GET", "/vms" }).response; };
    EXPECT_EQ(post(R"({"vms":[{"address":"127.0.0.1:1","role":"node","state":"live","failure_domain":"a"},)"
                   R"({"address":"127.0.0.1:2","role":"endpoint","service":"s","state":"live","failure_domain":"b"}]})")
                  .status,
        200U);
    EXPECT_EQ(post(R"({"address":"127.0.0.1:2","role":"endpoint","service":"s","state":"leaving","failure_domain":"b"})").status, 200U);
    EXPECT_EQ(post(R"({"address":"127.0.0.1:3","role":"endpoint","state":"gone"})").status, 400U);
    EXPECT_THAT(
        list().body, HasSubstr(R"({"address":"127.0.0.1:2","role":"endpoint","service":"s","state":"leaving","failure_domain":"b"})"));
    EXPECT_EQ(client.send(address, { "DELETE", "/vms/127.0.0.1:1" }).response.status, 200U);
    EXPECT_EQ(client.send(address, { "DELETE", "/vms/127.0.0.1:1" }).response.status, 404U);
    EXPECT_EQ(count(list().body, "address"), 1U);
    setFaults(address, R"({"down":true})");
    EXPECT_EQ(list().status, 503U);
}

} // namespace
} // namespace carawaylink
