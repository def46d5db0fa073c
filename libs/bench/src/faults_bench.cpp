#include "bench/benches.h"

#include "base/error.h"
#include "bench/promise_report.h"
#include "fault_injector.h"
#include "load/generator.h"

#include <algorithm>
#include <iostream>

namespace carawaylink::bench {

namespace {

using std::chrono::milliseconds;

constexpr auto loadTime = milliseconds(50000);
constexpr auto settleLimit = std::chrono::seconds(15);
// 480 requests/s over 50 s are 24,000 requests; engine work at this rate is about 60% of the capacity of all engines.
constexpr double requestRate = 480;
constexpr double burstFactor = 2.5;

std::vector<load::trace_call> makeTrace(std::uint64_t seed, const std::vector<planned_fault>& schedule)
{
    load::generator_settings settings;
    settings.seed = seed;
    settings.rate = requestRate;
    settings.duration = loadTime;
    const std::array shares { 5.0, 3.0, 1.0, 1.0 };
    for (std::size_t i = 0; i < shares.size(); ++i)
        settings.teams.push_back({ team_id(bench_fleet::teams().at(i)), shares[i] });
    for (const auto& fault : schedule) {
        if (fault.kind == fault_kind::load_burst)
            settings.bursts.push_back({ fault.at, fault.length, burstFactor });
    }
    const service_id engines("llm");
    const service_id plain("desk");
    settings.classes = {
        { "question", 20, engines, tier(0), 80, 15, 20, 10, milliseconds(4000), 0 },
        { "reminder", 20, engines, tier(1), 120, 20, 20, 10, milliseconds(8000), 0 },
        { "plan", 12, engines, tier(2), 300, 40, 20, 5, milliseconds(10000), 0.5 },
        { "tag", 8, engines, tier(3), 100, 30, 20, 5, milliseconds(15000), 0 },
        { "lookup", 25, plain, tier(0), 1, 1, 1, 0, milliseconds(4000), 0 },
        { "confirm", 15, plain, tier(1), 1, 1, 1, 0, milliseconds(8000), 1 },
    };
    return load::generateTrace(settings);
}

} // namespace

int runFaultsBench(const bench_options& options)
{
    requireEmpty(options.folder);
    schedule_settings plan;
    plan.seed = options.seed;
    const auto schedule = makeSchedule(plan);
    for (const auto& fault : schedule)
        std::cout << "planned " << scheduleLine(fault) << '\n';
    std::cout << "folder=" << options.folder << std::endl;

    fleet_shape shape;
    shape.nodes = plan.nodes;
    shape.enginesPerSpeed = plan.engines / 3;
    shape.services = plan.services;
    bench_fleet fleet(options, options.folder, shape);
    const auto trace = makeTrace(options.seed, schedule);
    fault_injector injector(fleet, options.seed);
    injector.start(schedule);
    fleet.offer(trace, options.seed);
    injector.wait();
    bool agreed = true;
    try {
        fleet.processes().waitUntilReady(settleLimit);
    } catch (const error& failure) {
        agreed = false;
        std::cout << "not_agreed " << failure.what() << '\n';
    }

    const auto crashes = injector.crashes();
    const auto report = checkHistories(fleet.processes().histories());
    report.print(std::cout);
    std::cout << "faults requests=" << report.requests << " faults=" << injector.begun() << ' ' << report.counts()
              << " unknown_share=" << report.unknownShare << " agreed_at_end=" << (agreed ? 1 : 0) << " crashes=" << crashes << std::endl;
    return report.kept() && agreed && crashes == 0 ? 0 : 1;
}

} // namespace carawaylink::bench
