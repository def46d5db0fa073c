#include "metrics.h"

#include "base/time.h"

#include <array>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <set>

namespace carawaylink {

namespace {

constexpr std::size_t maxTeamLabels = 100;

const prometheus::Histogram::BucketBoundaries secondsBuckets { 0.001, 0.0025, 0.005, 0.01, 0.02, 0.036, 0.058, 0.1, 0.2, 0.36, 0.75, 1.5, 3,
    6, 12, 30, 60, 120 };

} // namespace

struct metrics::implementation {
    using histogram_family = prometheus::Family<prometheus::Histogram>;

    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& requests = prometheus::BuildCounter()
                                                            .Name("carawaylink_requests_total")
                                                            .Help("Finished requests by service, tier and outcome")
                                                            .Register(registry);
    prometheus::Family<prometheus::Counter>& outputTokens
        = prometheus::BuildCounter().Name("carawaylink_output_tokens_total").Help("Output tokens delivered by tier").Register(registry);
    prometheus::Family<prometheus::Gauge>& gauges
        = prometheus::BuildGauge().Name("carawaylink_node").Help("State of the node by name").Register(registry);
    histogram_family& waited = histogram("carawaylink_wait_seconds", "Time until the dispatch");
    histogram_family& firstToken = histogram("carawaylink_first_token_seconds", "Time from arrival to the first token");
    histogram_family& betweenTokens = histogram("carawaylink_between_tokens_seconds", "Mean time between tokens of a request");
    histogram_family& total = histogram("carawaylink_request_seconds", "Time from arrival to the end of the response");
    std::mutex teamMutex;
    std::set<team_id> teams;

    histogram_family& histogram(const std::string& name, const std::string& help)
    {
        return prometheus::BuildHistogram().Name(name).Help(help + ", by tier and team").Register(registry);
    }

    std::string teamLabel(const team_id& team)
    {
        const std::lock_guard lock(teamMutex);
        if (teams.size() < maxTeamLabels)
            teams.insert(team);
        return teams.contains(team) ? team.value : "other";
    }

    static void record(histogram_family& family, const prometheus::Labels& labels, duration value)
    {
        if (value > duration::zero())
            family.Add(labels, secondsBuckets).Observe(inSeconds(value));
    }
};

metrics::metrics()
    : m_implementation(std::make_unique<implementation>())
{
}

metrics::~metrics() = default;

void metrics::observe(const request_observation& observation)
{
    auto& state = *m_implementation;
    const auto level = std::to_string(observation.level.value);
    state.requests.Add({ { "service", observation.service.value }, { "tier", level }, { "outcome", observation.outcome } }).Increment();
    if (observation.outputTokens > 0)
        state.outputTokens.Add({ { "tier", level } }).Increment(static_cast<double>(observation.outputTokens));
    const prometheus::Labels labels { { "tier", level }, { "team", state.teamLabel(observation.team) } };
    implementation::record(state.waited, labels, observation.waited);
    implementation::record(state.firstToken, labels, observation.firstToken);
    if (observation.outputTokens > 1)
        implementation::record(state.betweenTokens, labels, (observation.total - observation.firstToken) / (observation.outputTokens - 1));
    implementation::record(state.total, labels, observation.total);
}

void metrics::setGauge(const std::string& name, const std::string& labelValue, double value)
{
    prometheus::Labels labels { { "name", name } };
    if (!labelValue.empty())
        labels.emplace("kind", labelValue);
    m_implementation->gauges.Add(labels).Set(value);
}

std::string metrics::render() const
{
    return prometheus::TextSerializer().Serialize(m_implementation->registry.Collect());
}

} // namespace carawaylink
