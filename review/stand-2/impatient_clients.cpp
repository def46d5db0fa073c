// One request that crashes the replicas that run it comes again and again, from clients that leave before it crashes them. Counts its sends
// to replicas later than the stable time after the third crash (BUDGET).
#include "deployment.h"

#include <algorithm>
#include <cstdio>

using namespace review_two;

namespace {

constexpr std::size_t machines = 4;
constexpr std::size_t replicasOfService = 6;
constexpr unsigned slots = 6;
constexpr auto workTime = milliseconds(15);
// A replica ends so long after it began to run the request, whether its caller is still there or not.
constexpr auto crashTime = milliseconds(120);
// A client leaves within half of the latency objective.
constexpr auto patience = milliseconds(50);
constexpr auto downTime = milliseconds(2000);
constexpr auto deadline = milliseconds(1000);
constexpr auto deadlyInterval = milliseconds(1000);
// The clients leave early in two periods of less than 5.5 s each, with a pause between them.
constexpr std::size_t periods = 2;
constexpr std::size_t requestsOfPeriod = 5;
constexpr auto periodInterval = milliseconds(9000);
constexpr std::size_t deadlyRequests = periods * requestsOfPeriod;
constexpr std::size_t soundClients = 8;
constexpr auto soundPause = milliseconds(50);
// Bounds of the rule.
constexpr auto stableTime = milliseconds(3000);
constexpr std::size_t crashesToKnow = 3;
constexpr std::size_t allowedRetries = 3;

const std::string deadlyBody = R"({"job":"deadly"})";

struct event_times {
    std::mutex mutex;
    std::vector<steady::time_point> arrivals;
    std::vector<steady::time_point> crashes;
};

request ask(const std::string& body)
{
    request asked;
    asked.target = "/status/job";
    asked.attempt = uniqueId();
    asked.deadline = deadline;
    asked.body = body;
    return asked;
}

} // namespace

int main(int, char** arguments)
{
    record notes(arguments[1]);
    store platform;
    platform.put("keyed.op", "config", configuration(1, { { "status-read", "/status/", "plate-desk", "idempotent", 2, 1000, 100 } }));
    event_times seen;
    const auto run = [&](replica& self, connection& caller, const message& asked, const std::string& own) {
        if (asked.body != deadlyBody) {
            notes.line("replica=" + self.id() + " runs request=" + asked.header("Attempt-Id"));
            std::this_thread::sleep_for(workTime);
            return caller.send("HTTP/1.1 200 OK\r\n" + own + "Content-Length: 2\r\n\r\n{}");
        }
        notes.line("replica=" + self.id() + " begins to run the deadly request=" + asked.header("Attempt-Id"));
        {
            const std::lock_guard guard(seen.mutex);
            seen.arrivals.push_back(steady::now());
        }
        std::this_thread::sleep_for(crashTime);
        {
            const std::lock_guard guard(seen.mutex);
            seen.crashes.push_back(steady::now());
        }
        self.crash(downTime);
        return false;
    };
    std::vector<std::unique_ptr<replica>> servers;
    for (std::size_t i = 0; i < replicasOfService; ++i)
        servers.push_back(std::make_unique<replica>(
            platform, "i-desk-" + std::to_string(i), "plate-desk", "zone-" + std::to_string(i % machines), slots, run));
    fleet nodes(platform, machines);
    if (!nodes.start())
        return 2;
    std::atomic<bool> isEnded = false;
    std::atomic<std::size_t> sound = 0;
    std::vector<std::jthread> clients;
    for (std::size_t i = 0; i < soundClients; ++i) {
        clients.emplace_back([&, i] {
            while (!isEnded) {
                sound += review_two::ask(notes, nodes.frontend(i % machines), ask("{" + uniqueId() + "}")).status() == 200;
                std::this_thread::sleep_for(soundPause);
            }
        });
    }
    std::this_thread::sleep_for(milliseconds(4000));
    const auto first = steady::now();
    for (std::size_t i = 0; i < deadlyRequests; ++i) {
        std::this_thread::sleep_until(first + i / requestsOfPeriod * periodInterval + i % requestsOfPeriod * deadlyInterval);
        const auto asked = ask(deadlyBody);
        const auto& address = nodes.frontend(i % machines);
        unsigned status = 0;
        if (!hasTrouble()) {
            status = review_two::ask(notes, address, asked).status();
        } else if (const auto caller = connectTo(address); caller && caller->send(encode(asked))) {
            status = caller->receive(steady::now() + patience).status();
        }
        notes.line("deadly request=" + asked.attempt + " machine=" + std::to_string(i % machines)
            + (status == 0 ? " the client has left" : " answered status=" + std::to_string(status)));
    }
    std::this_thread::sleep_for(2 * crashTime);
    isEnded = true;
    clients.clear();
    const std::lock_guard guard(seen.mutex);
    std::size_t late = 0;
    if (seen.crashes.size() >= crashesToKnow) {
        const auto from = seen.crashes[crashesToKnow - 1] + stableTime;
        late = static_cast<std::size_t>(std::ranges::count_if(seen.arrivals, [from](auto time) { return time > from; }));
    }
    const auto result = "crashes=" + std::to_string(seen.crashes.size()) + " retries_later_than_stable_time_after_third_crash="
        + std::to_string(late) + " allowed=" + std::to_string(allowedRetries) + " sound_answers=" + std::to_string(sound.load());
    notes.line(result);
    std::puts(result.c_str());
    if (seen.crashes.size() < crashesToKnow)
        return 2;
    return late > allowedRetries ? 1 : 0;
}
