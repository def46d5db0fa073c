#include "load/metrics.h"

#include "yaml_fields.h"

namespace carawaylink::load {
namespace {

class expectation_reader {
public:
    expectation_reader(std::string file, std::vector<std::string>& shortfalls)
        : m_file(std::move(file))
        , m_shortfalls(shortfalls)
    {
    }

    void compare(const std::string& name, const YAML::Node& node, const group_metrics& group)
    {
        const yaml_fields fields(node, m_file,
            { "goodput_share_min", "first_token_p95_ms_max", "latency_p95_ms_max", "wasted_prefill_share_max", "refused_share_max",
                "unknown_share_max" });
        const auto optionalShare = [&](std::int64_t part) { return group.offered == 0 ? std::nullopt : std::optional(group.share(part)); };
        const auto p95 = [](const latency_histogram& histogram) {
            return histogram.total() == 0 ? std::nullopt : std::optional(static_cast<double>(histogram.percentile(0.95)) / 1000);
        };
        atLeast(fields, name, "goodput_share_min", optionalShare(group.good));
        atMost(fields, name, "first_token_p95_ms_max", p95(group.firstToken));
        atMost(fields, name, "latency_p95_ms_max", p95(group.whole));
        atMost(fields, name, "wasted_prefill_share_max", group.wastedPrefillShare());
        atMost(fields, name, "refused_share_max", optionalShare(group.refused));
        atMost(fields, name, "unknown_share_max", optionalShare(group.unknown));
    }

private:
    void atLeast(const yaml_fields& fields, const std::string& group, const std::string& key, std::optional<double> measured)
    {
        const auto limit = fields.number(key, 0, 0, 1);
        if (fields.has(key) && !(measured && *measured >= limit))
            note(group, key, limit, measured);
    }

    void atMost(const yaml_fields& fields, const std::string& group, const std::string& key, std::optional<double> measured)
    {
        const auto limit = fields.number(key, 0, 0, 1e9);
        if (fields.has(key) && !(measured && *measured <= limit))
            note(group, key, limit, measured);
    }

    /// A figure that was not measured is a shortfall too: a missing history must not pass for a good result.
    void note(const std::string& group, const std::string& key, double limit, std::optional<double> measured)
    {
        m_shortfalls.push_back(
            group + " " + key + "=" + std::to_string(limit) + " measured=" + (measured ? std::to_string(*measured) : "none"));
    }

    std::string m_file;
    std::vector<std::string>& m_shortfalls;
};

} // namespace

std::vector<std::string> compareOutcomes(const load_metrics& metrics, const std::string& path)
{
    const auto root = loadYaml(path);
    const yaml_fields fields(root, path, { "tiers", "services", "total" });
    std::vector<std::string> shortfalls;
    expectation_reader reader(path, shortfalls);
    const group_metrics none;
    for (const auto& entry : fields.child("tiers")) {
        int tier = 0;
        if (!YAML::convert<int>::decode(entry.first, tier))
            fields.fail("tiers", "has a key that is not a tier number");
        const auto found = metrics.tiers.find(tier);
        reader.compare("tier " + std::to_string(tier), entry.second, found == metrics.tiers.end() ? none : found->second);
    }
    for (const auto& entry : fields.child("services")) {
        const auto service = entry.first.as<std::string>();
        const auto found = metrics.services.find(service);
        reader.compare("service " + service, entry.second, found == metrics.services.end() ? none : found->second);
    }
    if (fields.has("total"))
        reader.compare("total", fields.child("total"), metrics.total);
    return shortfalls;
}

} // namespace carawaylink::load
