#include "simulated_network.h"
#include "ticket/home_table.h"
#include "ticket/witness_table.h"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <ctime>
#include <malloc.h>

namespace carawaylink {
namespace {

// Section 1.3 of the design: 65 failures and 390 restarts a day among 750 nodes. A peak hour is taken as four times the mean.
constexpr double changesPerNodeSecond = 4.0 * (65 + 390) / 86'400 / 750;
constexpr std::size_t restartsPerFailure = 6;
// By then members that started together agree and their first exchanges are over.
constexpr duration settleTime = std::chrono::seconds(120);

std::size_t allocatedBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

void measureMembership(std::size_t size, std::uint64_t seed, duration length)
{
    const auto before = allocatedBytes();
    simulation::network net(size, seed);
    net.startAll();
    net.run(settleTime);
    const auto memory = allocatedBytes() - before;

    const double seconds = std::chrono::duration<double>(length).count();
    const auto changes = static_cast<std::size_t>(changesPerNodeSecond * static_cast<double>(size) * seconds + 0.5);
    net.sent = {};
    net.detectorTime = {};
    for (std::size_t change = 0; change < changes; ++change) {
        const std::size_t index = 1 + (change * 37 + 11) % (size - 1);
        net.kill(index);
        if (change % (restartsPerFailure + 1) != 0)
            net.start(index, { 0, (index + size / 2) % size });
        net.run(length / static_cast<duration::rep>(changes));
    }
    if (changes == 0)
        net.run(length);
    const double nodeSeconds = static_cast<double>(size) * seconds;
    const auto bytes = static_cast<double>(net.sent.bytes) / nodeSeconds;
    std::printf("membership nodes=%zu changes=%zu sent_packets_per_s=%.2f sent_bytes_per_s=%.0f both_directions_bytes_per_s=%.0f "
                "largest_datagram_bytes=%llu cpu_us_per_s=%.0f memory_bytes_per_member=%.0f agree=%s\n",
        size, changes, static_cast<double>(net.sent.packets) / nodeSeconds, bytes, 2 * bytes,
        static_cast<unsigned long long>(net.sent.largest),
        std::chrono::duration<double, std::micro>(net.detectorTime).count() / nodeSeconds,
        static_cast<double>(memory) / static_cast<double>(size * (size - 1)), net.allAgree() ? "yes" : "no");
}

/// Time until every running node has a killed one for dead, over several kills.
void measureDetection(std::size_t size, std::uint64_t seed, std::size_t kills)
{
    simulation::network net(size, seed);
    net.startAll();
    net.run(settleTime);
    std::vector<double> seconds;
    for (std::size_t kill = 0; kill < kills; ++kill) {
        const std::size_t index = (kill * 37 + 11) % size;
        net.observations.clear();
        net.kill(index);
        std::set<std::size_t> observers;
        std::size_t read = 0;
        const auto time = net.runUntil(std::chrono::seconds(60), [&] {
            for (; read < net.observations.size(); ++read) {
                const auto& seen = net.observations[read];
                if (seen.member == index && seen.update.state == member_state::dead)
                    observers.insert(seen.observer);
            }
            return observers.size() == size - 1;
        });
        seconds.push_back(std::chrono::duration<double>(time).count());
        net.start(index, { 0, (index + 1) % size });
        // Not a multiple of the probe interval, so that the kills meet different phases.
        net.run(std::chrono::milliseconds(20'230));
    }
    std::ranges::sort(seconds);
    std::printf("detection nodes=%zu kills=%zu dead_everywhere_p50_s=%.2f dead_everywhere_max_s=%.2f\n", size, kills,
        seconds[seconds.size() / 2], seconds.back());
}

/// CPU time of this process in ns per call.
template <typename Function> double nanosecondsPerCall(std::size_t calls, Function function)
{
    const auto begin = std::clock();
    for (std::size_t i = 0; i < calls; ++i)
        function(i);
    return static_cast<double>(std::clock() - begin) * 1e9 / CLOCKS_PER_SEC / static_cast<double>(calls);
}

void measureTickets(std::size_t count)
{
    const process_identity homeProcess { node_id("10.20.100.21:7400"), incarnation(1'764'800'000'000'001) };
    const process_identity witnessProcess { node_id("10.20.101.22:7400"), incarnation(1'764'800'000'000'002) };
    const endpoint_id endpoint("10.30.100.200:8000");
    const monotonic_time now { std::chrono::hours(1) };
    const key_ring ring({ { "2026-12", std::string(32, 'k') } });

    std::vector<ticket> tickets(count);
    auto before = allocatedBytes();
    home_table home(homeProcess, count, std::chrono::hours(1));
    const auto issue = nanosecondsPerCall(count, [&](auto i) { tickets[i].sequence = home.issue(now, witnessProcess)->sequence; });
    const auto homeBytes = allocatedBytes() - before;
    for (auto& value : tickets) {
        value.home = homeProcess;
        value.witness = witnessProcess;
    }
    const auto claim = nanosecondsPerCall(count, [&](auto i) { home.claimTicket(now, tickets[i], { 1, i }); });
    const auto dispatch = nanosecondsPerCall(count, [&](auto i) {
        home.markIntentSent(tickets[i]);
        home.beginDispatch(now, tickets[i], now);
    });

    before = allocatedBytes();
    witness_table witness(witnessProcess, count);
    const auto intent = nanosecondsPerCall(count, [&](auto i) { witness.recordIntent(tickets[i], { 1, i }, endpoint); });
    const auto witnessBytes = allocatedBytes() - before;
    const auto query = nanosecondsPerCall(count, [&](auto i) { witness.queryAndClose(tickets[i]); });
    // Every intent drops the oldest entry from here on.
    const auto intentWhenFull = nanosecondsPerCall(count, [&](auto i) {
        auto value = tickets[i];
        value.sequence += count;
        witness.recordIntent(value, { 1, i }, endpoint);
    });

    std::size_t textBytes = 0;
    std::vector<std::string> texts(std::min<std::size_t>(count, 20'000));
    const auto seal = nanosecondsPerCall(texts.size(), [&](auto i) { texts[i] = ring.seal(tickets[i]); });
    const auto open
        = nanosecondsPerCall(texts.size(), [&](auto i) { textBytes += ring.open(texts[i]).sequence > 0 ? texts[i].size() : 0; });
    std::printf("tickets count=%zu issue_ns=%.0f claim_ns=%.0f dispatch_ns=%.0f intent_ns=%.0f intent_when_full_ns=%.0f query_ns=%.0f "
                "seal_ns=%.0f open_ns=%.0f home_bytes_per_entry=%.0f witness_bytes_per_entry=%.0f text_bytes=%zu\n",
        count, issue, claim, dispatch, intent, intentWhenFull, query, seal, open,
        static_cast<double>(homeBytes) / static_cast<double>(count), static_cast<double>(witnessBytes) / static_cast<double>(count),
        textBytes / texts.size());
}

} // namespace
} // namespace carawaylink

int main(int argc, char** argv)
{
    CLI::App app("Measures what membership and tickets cost, one line of key=value pairs per size");
    std::vector<std::size_t> sizes { 5, 50, 200, 750 };
    std::vector<std::size_t> ticketCounts { 10'000, 100'000, 1'000'000 };
    std::uint64_t seed = 1;
    unsigned seconds = 300;
    std::size_t kills = 20;
    app.add_option("--nodes", sizes, "Cluster sizes")->check(CLI::Range(2, 2000))->delimiter(',');
    app.add_option("--tickets", ticketCounts, "Tickets in the tables")->check(CLI::Range(1, 10'000'000))->delimiter(',');
    app.add_option("--seed", seed, "Seed of the simulated network");
    app.add_option("--seconds", seconds, "Virtual time measured per size")->check(CLI::Range(1, 86'400));
    app.add_option("--kills", kills, "Kills per size for the time of detection")->check(CLI::Range(1, 100'000));
    CLI11_PARSE(app, argc, argv);
    for (const auto size : sizes)
        carawaylink::measureMembership(size, seed, std::chrono::seconds(seconds));
    for (const auto size : sizes)
        carawaylink::measureDetection(size, seed, kills);
    for (const auto count : ticketCounts)
        carawaylink::measureTickets(count);
}
