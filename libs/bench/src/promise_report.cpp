#include "bench/promise_report.h"

#include "load/metrics.h"

#include <algorithm>
#include <sstream>

namespace carawaylink::bench {

bool promise_report::kept() const
{
    return std::ranges::all_of(promises, &load::promise_result::kept);
}

std::string promise_report::counts() const
{
    // Keys of the promises P1 to P8 of section 1.1 of the design page.
    constexpr std::array names { "double_dispatch", "inversions", "wrong_or_partial_answers", "false_not_run", "order_doubles",
        "late_new_work", "cut_by_planned_stop", "config_breaches" };
    std::ostringstream text;
    for (std::size_t i = 0; i < names.size(); ++i)
        text << (i ? " " : "") << names[i] << '=' << promises[i].breaches;
    return text.str();
}

void promise_report::print(std::ostream& out) const
{
    std::ranges::for_each(promises, [&](const auto& result) { out << load::promiseText(result); });
}

promise_report checkHistories(const load::history& merged)
{
    promise_report report;
    report.promises = load::checkPromises(merged, {});
    const auto metrics = load::measureLoad(merged, {});
    report.requests = metrics.total.offered;
    report.unknownShare = metrics.total.share(metrics.total.unknown);
    return report;
}

promise_report checkHistories(const std::vector<std::string>& paths)
{
    return checkHistories(load::history::read(paths));
}

} // namespace carawaylink::bench
