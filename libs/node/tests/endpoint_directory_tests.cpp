#include "endpoint_directory.h"
#include "event_loop.h"
#include "http/server.h"

#include <algorithm>
#include <atomic>
#include <mutex>

namespace carawaylink {
namespace {

using namespace std::chrono_literals;

/// Serves a list of vms whose content the test sets.
class endpoint_directory_test : public testing::Test {
protected:
    endpoint_directory_test()
        : server(threads, {},
            [this](const http_request& request, const std::shared_ptr<http_responder>& responder) {
                const std::lock_guard lock(mutex);
                if (request.path() == "/state") {
                    responder->send(jsonResponse(200, description));
                    return;
                }
                // The endpoint's load report is no poll of the list.
                if (request.path() == "/vms")
                    ++polls;
                responder->send(jsonResponse(200, list));
            })
        , address(server.listen("127.0.0.1:0"))
        , directory(context, { address, 5ms },
              { [this] { ++changes; }, [this](const endpoint_id& id) { leaving.push_back(id); },
                  [this](const std::vector<node_id>& found) { nodes = found; } })
    {
    }
    ~endpoint_directory_test() override
    {
        server.stopAccepting();
        threads.stop();
    }

    static std::string entry(const std::string& endpoint, const std::string& state)
    {
        return R"({"address":")" + endpoint + R"(","role":"endpoint","service":"llm","state":")" + state + R"(","failure_domain":"d"})";
    }
    void setList(const std::string& entries)
    {
        const std::lock_guard lock(mutex);
        list = R"({"vms":[)" + entries + "]}";
    }
    void awaitPolls(int count)
    {
        const auto until = polls + count;
        runUntil(context, [&] { return polls >= until; });
    }

    io_threads threads { 1 };
    std::mutex mutex;
    std::string list = R"({"vms":[]})";
    std::string description = R"({"generation":"g2","max_running":3,"cache_tokens":1000})";
    std::atomic<int> polls = 0;
    http_server server;
    std::string address;
    boost::asio::io_context context { 1 };
    int changes = 0;
    std::vector<endpoint_id> leaving;
    std::vector<node_id> nodes;
    endpoint_directory directory;
};

// Guards against removing endpoints that single answers of the list omit, and against keeping dead ones.
TEST_F(endpoint_directory_test, omitted_entries_do_not_remove_endpoints)
{
    setList(entry(address, "live") + R"(,{"address":"127.0.0.1:5","role":"node"})");
    directory.start();
    const endpoint_id id(address);
    runUntil(context, [&] { return directory.endpoints().contains(id) && directory.endpoints().at(id).described; });
    EXPECT_EQ(directory.endpoints().at(id).description.maxRunning, 3U);
    EXPECT_EQ(directory.endpoints().at(id).description.generation, "g2");
    EXPECT_EQ(nodes, (std::vector<node_id> { node_id("127.0.0.1:5") }));
    for (int round = 0; round < 3; ++round) {
        setList("");
        awaitPolls(10);
        EXPECT_TRUE(directory.endpoints().contains(id));
        setList(entry(address, "live"));
        awaitPolls(2);
    }
    setList("");
    runUntil(context, [&] { return directory.endpoints().empty(); });
}

// Guards against dispatching to a leaving endpoint, and against a lagging list that resets its leaving state.
TEST_F(endpoint_directory_test, leaving_is_reported_at_once_and_for_good)
{
    setList(entry(address, "live"));
    directory.start();
    const endpoint_id id(address);
    runUntil(context, [&] { return directory.endpoints().contains(id); });
    setList(entry(address, "leaving"));
    awaitPolls(2);
    EXPECT_EQ(leaving, (std::vector<endpoint_id> { id }));
    setList(entry(address, "live"));
    awaitPolls(3);
    EXPECT_EQ(directory.leaving(), (std::set<endpoint_id> { id }));
    directory.markLeaving(id);
    EXPECT_EQ(leaving.size(), 1U);
}

// Guards against a malformed answer of the list or of an endpoint that terminates the daemon or empties the directory.
TEST_F(endpoint_directory_test, malformed_answers_change_nothing)
{
    description = R"({"generation":7,"max_running":1e300,"cache_tokens":-1.5})";
    setList(entry(address, "live"));
    directory.start();
    const endpoint_id id(address);
    runUntil(context, [&] { return directory.endpoints().contains(id) && directory.endpoints().at(id).described; });
    EXPECT_EQ(directory.endpoints().at(id).description.maxRunning, 1U);
    for (const auto* text : { "", "[]", R"({"vms":1})", R"({"vms":[1,null]})", R"({"vms":[{}]})", "{\"vms\":[" }) {
        {
            const std::lock_guard lock(mutex);
            list = text;
        }
        awaitPolls(2);
        EXPECT_TRUE(directory.endpoints().contains(id)) << text;
        EXPECT_EQ(directory.endpoints().size(), 1U) << text;
    }
}

} // namespace
} // namespace carawaylink
