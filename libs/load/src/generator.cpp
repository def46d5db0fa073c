#include "load/generator.h"

#include "yaml_fields.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace carawaylink::load {
namespace {

constexpr double unlimited = 1e9;

std::chrono::milliseconds seconds(double value)
{
    return std::chrono::milliseconds(std::llround(value * 1000));
}

/// Log-normal around a median; values outside the bounds are drawn again, so that no mass piles up at a bound.
class length_distribution {
public:
    length_distribution(double median, double spread)
        : m_low(median / std::sqrt(spread))
        , m_high(median * std::sqrt(spread))
        // The bounds lie two standard deviations from the median: 95% of the draws are accepted.
        , m_distribution(std::log(median), std::log(spread) / 4)
    {
    }

    tokens operator()(std::mt19937_64& random)
    {
        // Without a spread, rounding can put every draw outside the bounds.
        if (m_low >= m_high)
            return tokens(std::max<std::int64_t>(1, std::llround(m_low)));
        for (;;) {
            const auto value = m_distribution(random);
            if (value >= m_low && value <= m_high)
                return tokens(std::max<std::int64_t>(1, std::llround(value)));
        }
    }

private:
    double m_low;
    double m_high;
    std::lognormal_distribution<double> m_distribution;
};

struct class_source {
    explicit class_source(const call_class& description, double zipf)
        : prompt(description.promptMedian, description.spread)
        , output(description.outputMedian, description.spread)
    {
        std::vector<double> weights;
        for (int i = 0; i < description.prefixes; ++i)
            weights.push_back(std::pow(i + 1, -zipf));
        prefix = std::discrete_distribution<int>(weights.begin(), weights.end());
    }

    length_distribution prompt;
    length_distribution output;
    std::discrete_distribution<int> prefix;
};

template <typename Items, typename Share> std::discrete_distribution<std::size_t> mix(const Items& items, Share share)
{
    std::vector<double> weights;
    std::ranges::transform(items, std::back_inserter(weights), share);
    return { weights.begin(), weights.end() };
}

} // namespace

generator_settings readGeneratorSettings(const std::string& path)
{
    const auto root = loadYaml(path);
    const yaml_fields fields(root, path, { "seed", "rate", "duration_s", "prefix_zipf", "teams", "bursts", "classes" });
    generator_settings settings;
    settings.seed = static_cast<std::uint64_t>(fields.number("seed", 1, 0, unlimited));
    settings.rate = fields.number("rate", settings.rate, 0.001, 1e6);
    settings.duration = seconds(fields.number("duration_s", 60, 0.001, 86400));
    settings.prefixZipf = fields.number("prefix_zipf", settings.prefixZipf, 0, 10);
    for (const auto& node : fields.child("teams")) {
        const yaml_fields team(node, path, { "name", "share" });
        settings.teams.push_back({ team_id(team.text("name")), team.number("share", 1, 0, unlimited) });
    }
    for (const auto& node : fields.child("bursts")) {
        const yaml_fields burst(node, path, { "at_s", "duration_s", "factor" });
        settings.bursts.push_back({ seconds(burst.number("at_s", 0, 0, 86400)), seconds(burst.number("duration_s", 0, 0, 86400)),
            burst.number("factor", 1, 0, 1000) });
    }
    for (const auto& node : fields.child("classes")) {
        const yaml_fields item(node, path,
            { "name", "share", "service", "tier", "prompt_tokens", "output_tokens", "spread", "prefixes", "deadline_ms",
                "non_idempotent_share" });
        call_class description;
        description.name = item.text("name");
        description.share = item.number("share", 1, 0, unlimited);
        description.service = service_id(item.text("service"));
        description.urgency = tier(static_cast<std::uint8_t>(item.number("tier", 0, 0, 255)));
        description.promptMedian = item.number("prompt_tokens", description.promptMedian, 1, 1e6);
        description.outputMedian = item.number("output_tokens", description.outputMedian, 1, 1e6);
        description.spread = item.number("spread", description.spread, 1, 1e6);
        description.prefixes = static_cast<int>(item.number("prefixes", 0, 0, 1e6));
        description.deadline = std::chrono::milliseconds(std::llround(item.number("deadline_ms", 8000, 1, 86400000)));
        description.nonIdempotentShare = item.number("non_idempotent_share", 0, 0, 1);
        settings.classes.push_back(std::move(description));
    }
    if (settings.teams.empty() || settings.classes.empty())
        fields.fail("teams, classes", "must each have an entry");
    return settings;
}

std::vector<trace_call> generateTrace(const generator_settings& settings)
{
    std::mt19937_64 random(settings.seed);
    auto teams = mix(settings.teams, &team_share::share);
    auto classes = mix(settings.classes, &call_class::share);
    std::vector<class_source> sources;
    for (const auto& description : settings.classes)
        sources.emplace_back(description, settings.prefixZipf);

    const auto factorAt = [&](std::chrono::milliseconds at) {
        double factor = 1;
        for (const auto& burst : settings.bursts) {
            if (at >= burst.at && at < burst.at + burst.length)
                factor *= burst.factor;
        }
        return factor;
    };
    double highest = 1;
    for (const auto& burst : settings.bursts)
        highest *= std::max(1.0, burst.factor);

    // Thinning: arrivals at the highest rate, of which each is kept with the probability that its time calls for.
    std::exponential_distribution<double> gap(settings.rate * highest);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::vector<trace_call> calls;
    for (double time = gap(random); seconds(time) < settings.duration; time += gap(random)) {
        const auto at = seconds(time);
        if (uniform(random) * highest >= factorAt(at))
            continue;
        const auto index = classes(random);
        const auto& description = settings.classes[index];
        auto& source = sources[index];
        trace_call call;
        call.at = at;
        call.team = settings.teams[teams(random)].team;
        call.urgency = description.urgency;
        call.service = description.service;
        call.prompt = source.prompt(random);
        call.output = source.output(random);
        if (description.prefixes > 0)
            call.prefix = description.name + "-p" + std::to_string(source.prefix(random));
        call.idempotent = uniform(random) >= description.nonIdempotentShare;
        call.deadline = description.deadline;
        calls.push_back(std::move(call));
    }
    return calls;
}

} // namespace carawaylink::load
