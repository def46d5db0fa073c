#include "load/metrics.h"

#include <array>
#include <boost/json.hpp>
#include <cstdio>

namespace carawaylink::load {
namespace {

std::string decimal(double value, int digits)
{
    std::array<char, 64> buffer {};
    std::snprintf(buffer.data(), buffer.size(), "%.*f", digits, value);
    return buffer.data();
}

std::string optionalDecimal(const std::optional<double>& value, int digits)
{
    return value ? decimal(*value, digits) : "na";
}

double milliseconds(const latency_histogram& histogram, double share)
{
    return static_cast<double>(histogram.percentile(share)) / 1000;
}

void addRow(std::string& text, const std::string& name, const load_metrics& metrics, const group_metrics& group)
{
    std::array<char, 256> buffer {};
    std::snprintf(buffer.data(), buffer.size(), "%-16s %8lld %8lld %9.2f %7.4f %7lld %7lld %7lld %7lld %8s\n", name.c_str(),
        static_cast<long long>(group.offered), static_cast<long long>(group.good), metrics.perSecond(group.good), group.share(group.good),
        static_cast<long long>(group.late), static_cast<long long>(group.refused), static_cast<long long>(group.unknown),
        static_cast<long long>(group.wrong), optionalDecimal(group.wastedPrefillShare(), 4).c_str());
    text += buffer.data();
}

void addLatencyRow(std::string& text, const std::string& name, const char* kind, const latency_histogram& histogram)
{
    if (histogram.total() == 0)
        return;
    std::array<char, 256> buffer {};
    std::snprintf(buffer.data(), buffer.size(), "%-16s %-14s %9lld %10.2f %10.2f %10.2f %10.2f\n", name.c_str(), kind,
        static_cast<long long>(histogram.total()), milliseconds(histogram, 0.5), milliseconds(histogram, 0.95),
        milliseconds(histogram, 0.99), milliseconds(histogram, 0.999));
    text += buffer.data();
}

template <typename Visit> void forEachGroup(const load_metrics& metrics, Visit visit)
{
    for (const auto& [tier, group] : metrics.tiers)
        visit("tier " + std::to_string(tier), group);
    for (const auto& [service, group] : metrics.services)
        visit(service, group);
    visit("total", metrics.total);
}

boost::json::value percentiles(const latency_histogram& histogram)
{
    if (histogram.total() == 0)
        return nullptr;
    return boost::json::object { { "count", histogram.total() }, { "p50_ms", milliseconds(histogram, 0.5) },
        { "p95_ms", milliseconds(histogram, 0.95) }, { "p99_ms", milliseconds(histogram, 0.99) },
        { "p999_ms", milliseconds(histogram, 0.999) } };
}

boost::json::value optionalNumber(const std::optional<double>& value)
{
    return value ? boost::json::value(*value) : boost::json::value(nullptr);
}

boost::json::object groupJson(const load_metrics& metrics, const group_metrics& group)
{
    return { { "offered", group.offered }, { "good", group.good }, { "goodput_per_s", metrics.perSecond(group.good) },
        { "goodput_share", group.share(group.good) }, { "late", group.late }, { "refused", group.refused },
        { "refused_share", group.share(group.refused) }, { "unknown", group.unknown }, { "unknown_share", group.share(group.unknown) },
        { "wrong", group.wrong }, { "prefill_tokens", group.prefillComputed }, { "prefill_unfinished", group.prefillUnfinished },
        { "prefill_repeated", group.prefillRepeated }, { "wasted_prefill_share", optionalNumber(group.wastedPrefillShare()) },
        { "first_token", percentiles(group.firstToken) }, { "between_tokens", percentiles(group.betweenTokens) },
        { "whole", percentiles(group.whole) } };
}

} // namespace

std::string metricsTable(const load_metrics& metrics)
{
    std::string text = "group             offered     good    good/s   share    late refused unknown   wrong  wasted\n";
    forEachGroup(metrics, [&](const std::string& name, const group_metrics& group) { addRow(text, name, metrics, group); });
    text += "\ngroup            latency (ms)       count        p50        p95        p99      p99.9\n";
    forEachGroup(metrics, [&](const std::string& name, const group_metrics& group) {
        addLatencyRow(text, name, "first token", group.firstToken);
        addLatencyRow(text, name, "between tokens", group.betweenTokens);
        addLatencyRow(text, name, "whole", group.whole);
    });
    return text;
}

std::string metricsJson(const load_metrics& metrics)
{
    boost::json::object tiers;
    for (const auto& [tier, group] : metrics.tiers)
        tiers[std::to_string(tier)] = groupJson(metrics, group);
    boost::json::object services;
    for (const auto& [service, group] : metrics.services)
        services[service] = groupJson(metrics, group);
    return boost::json::serialize(
        boost::json::object { { "seconds", metrics.seconds }, { "total", groupJson(metrics, metrics.total) }, { "tiers", tiers },
            { "services", services }, { "jain", metrics.jain ? boost::json::value(metrics.jain->index) : boost::json::value(nullptr) },
            { "jain_windows", metrics.jain ? metrics.jain->windows : 0 } });
}

std::string metricsLine(const load_metrics& metrics, const std::string& extra)
{
    const auto& total = metrics.total;
    auto line = "load offered=" + std::to_string(total.offered) + " good=" + std::to_string(total.good)
        + " goodput_per_s=" + decimal(metrics.perSecond(total.good), 2) + " goodput_share=" + decimal(total.share(total.good), 4);
    for (const auto& [tier, group] : metrics.tiers)
        line += " tier" + std::to_string(tier) + "_goodput_share=" + decimal(group.share(group.good), 4);
    line += " refused_share=" + decimal(total.share(total.refused), 4) + " unknown_share=" + decimal(total.share(total.unknown), 4)
        + " wrong=" + std::to_string(total.wrong) + " wasted_prefill_share=" + optionalDecimal(total.wastedPrefillShare(), 4)
        + " jain=" + (metrics.jain ? decimal(metrics.jain->index, 4) + " jain_windows=" + std::to_string(metrics.jain->windows) : "na")
        + " first_token_p95_ms=" + decimal(milliseconds(total.firstToken, 0.95), 2) + " between_tokens_p95_ms="
        + decimal(milliseconds(total.betweenTokens, 0.95), 2) + " whole_p99_ms=" + decimal(milliseconds(total.whole, 0.99), 2);
    return extra.empty() ? line : line + " " + extra;
}

} // namespace carawaylink::load
