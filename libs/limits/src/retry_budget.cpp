#include "limits/retry_budget.h"

#include <algorithm>
#include <numeric>

namespace carawaylink::limits {

namespace {

constexpr int intervalsPerWindow = 10;
// The rest is a margin for requests that are delayed into another window.
constexpr double usableFraction = 0.8;

} // namespace

retry_budget::retry_budget(double ratio, double slack, duration window)
    : m_ratio(ratio)
    , m_slack(slack)
    , m_window(window)
{
}

void retry_budget::countRequest(monotonic_time now)
{
    current(now).requests += 1;
}

bool retry_budget::takeRetry(std::size_t nodes, monotonic_time now)
{
    auto& latest = current(now);
    const auto sum = [this](double interval::*member) {
        return std::accumulate(
            m_intervals.begin(), m_intervals.end(), 0.0, [&](double total, const interval& part) { return total + part.*member; });
    };
    const double allowed
        = usableFraction * (m_ratio * sum(&interval::requests) + m_slack / static_cast<double>(std::max<std::size_t>(nodes, 1)));
    if (sum(&interval::retries) + 1 > allowed)
        return false;
    latest.retries += 1;
    return true;
}

retry_budget::interval& retry_budget::current(monotonic_time now)
{
    while (!m_intervals.empty() && now - m_intervals.front().start > m_window)
        m_intervals.pop_front();
    if (m_intervals.empty() || now - m_intervals.back().start >= m_window / intervalsPerWindow)
        m_intervals.push_back({ now, 0, 0 });
    return m_intervals.back();
}

} // namespace carawaylink::limits
