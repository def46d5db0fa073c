#include "bench/fault_schedule.h"

#include "base/error.h"
#include "base/random.h"

#include <algorithm>
#include <sstream>

namespace carawaylink::bench {

namespace {

using std::chrono::milliseconds;

constexpr auto pairGap = milliseconds(300);
constexpr std::size_t minRunningNodes = 3;
constexpr int placeAttempts = 200;

struct length_range {
    fault_kind kind;
    milliseconds shortest;
    milliseconds longest;
};

// A pause outlasts suspicion (1 s). A drain lasts until the callers' entry answers have expired and the streams have ended; its
// length is the time reserved for that and for the restart. The log is down for less than the limit of P8 (14 s).
constexpr auto lengths = std::to_array<length_range>({
    { fault_kind::kill_node, milliseconds(500), milliseconds(4000) },
    { fault_kind::pause_node, milliseconds(1500), milliseconds(5000) },
    { fault_kind::drain_node, milliseconds(12000), milliseconds(14000) },
    { fault_kind::swallow_connections, milliseconds(100), milliseconds(100) },
    { fault_kind::partition_nodes, milliseconds(1500), milliseconds(6000) },
    { fault_kind::delay_links, milliseconds(2000), milliseconds(5000) },
    { fault_kind::log_down, milliseconds(3000), milliseconds(8000) },
    { fault_kind::log_slow, milliseconds(3000), milliseconds(8000) },
    { fault_kind::log_answers_lost, milliseconds(3000), milliseconds(6000) },
    { fault_kind::vm_list_down, milliseconds(3000), milliseconds(8000) },
    { fault_kind::vm_list_omits, milliseconds(3000), milliseconds(8000) },
    { fault_kind::engine_slow, milliseconds(5000), milliseconds(10000) },
    { fault_kind::engine_killed, milliseconds(1000), milliseconds(5000) },
    { fault_kind::engine_leaving, milliseconds(4000), milliseconds(8000) },
    { fault_kind::streams_cut, milliseconds(1000), milliseconds(3000) },
    { fault_kind::engine_silent, milliseconds(2000), milliseconds(4000) },
    { fault_kind::service_answers_lost, milliseconds(1000), milliseconds(3000) },
    { fault_kind::load_burst, milliseconds(2000), milliseconds(4000) },
    { fault_kind::racing_operators, milliseconds(100), milliseconds(100) },
});
static_assert(lengths.size() == faultKindNames.entries.size());

bool stopsNode(fault_kind kind)
{
    return kind == fault_kind::kill_node || kind == fault_kind::pause_node || kind == fault_kind::drain_node;
}

bool concernsEngine(fault_kind kind)
{
    return kind == fault_kind::engine_slow || kind == fault_kind::engine_killed || kind == fault_kind::engine_leaving
        || kind == fault_kind::streams_cut || kind == fault_kind::engine_silent;
}

bool concernsNodes(fault_kind kind)
{
    return stopsNode(kind) || kind == fault_kind::swallow_connections || kind == fault_kind::partition_nodes
        || kind == fault_kind::delay_links || kind == fault_kind::racing_operators;
}

bool overlap(const planned_fault& first, const planned_fault& second)
{
    // The effect of a fault outlasts it for about the time in which it is noticed.
    constexpr auto margin = milliseconds(500);
    return first.at < second.at + second.length + margin && second.at < first.at + first.length + margin;
}

bool fits(const planned_fault& added, const std::vector<planned_fault>& planned)
{
    const auto conflicts = [&](const planned_fault& other) {
        if (!overlap(added, other))
            return false;
        // The switches of a stand-in and of a path have one value at a time.
        if (added.kind == other.kind && !stopsNode(added.kind) && !concernsEngine(added.kind))
            return true;
        return (stopsNode(added.kind) && stopsNode(other.kind) && added.target == other.target)
            || (concernsEngine(added.kind) && concernsEngine(other.kind) && added.target == other.target);
    };
    if (std::ranges::any_of(planned, conflicts))
        return false;
    if (!stopsNode(added.kind))
        return true;
    // Pairwise overlap with the new fault is an upper bound of the nodes stopped at one time.
    return std::ranges::count_if(planned, [&](const auto& other) { return stopsNode(other.kind) && overlap(added, other); }) < 2;
}

class schedule_generator {
public:
    explicit schedule_generator(const schedule_settings& settings)
        : m_settings(settings)
        , m_random(settings.seed)
    {
    }

    std::vector<planned_fault> make()
    {
        std::vector<fault_kind> kinds;
        std::ranges::transform(faultKindNames.entries, std::back_inserter(kinds), [](const auto& entry) { return entry.first; });
        while (kinds.size() < m_settings.faults)
            kinds.push_back(faultKindNames.entries[pick(faultKindNames.entries.size())].first);
        // Long faults are placed first, while there is room.
        std::ranges::stable_sort(kinds, std::greater(), [](fault_kind kind) { return rangeOf(kind).longest; });
        std::vector<planned_fault> planned;
        std::ranges::for_each(kinds, [&](fault_kind kind) { place(kind, planned); });
        std::ranges::stable_sort(planned, {}, &planned_fault::at);
        return planned;
    }

private:
    static const length_range& rangeOf(fault_kind kind) { return *std::ranges::find(lengths, kind, &length_range::kind); }

    // The distributions of the standard library differ between implementations; a remainder does not.
    std::size_t pick(std::size_t count) { return static_cast<std::size_t>(m_random() % count); }
    milliseconds between(milliseconds shortest, milliseconds longest)
    {
        return shortest + milliseconds(pick(static_cast<std::size_t>((longest - shortest).count()) + 1));
    }

    planned_fault draw(fault_kind kind, const std::vector<planned_fault>& planned)
    {
        const auto& range = rangeOf(kind);
        planned_fault fault;
        fault.kind = kind;
        fault.length = between(range.shortest, range.longest);
        const auto latest = std::max(m_settings.begin, m_settings.end - fault.length);
        const bool paired = !planned.empty() && pick(3) == 0;
        fault.at = paired ? std::min(planned[pick(planned.size())].at + between(milliseconds(0), pairGap), latest)
                          : between(m_settings.begin, latest);
        const auto targets = concernsNodes(kind) ? m_settings.nodes : concernsEngine(kind) ? m_settings.engines : m_settings.services;
        fault.target = pick(targets);
        fault.second = fault.target;
        if (concernsNodes(kind) && !stopsNode(kind))
            fault.second = (fault.target + 1 + pick(m_settings.nodes - 1)) % m_settings.nodes;
        return fault;
    }

    void place(fault_kind kind, std::vector<planned_fault>& planned)
    {
        for (int attempt = 0; attempt < placeAttempts; ++attempt) {
            const auto fault = draw(kind, planned);
            if (fits(fault, planned)) {
                planned.push_back(fault);
                return;
            }
        }
        throw error(error_kind::limit_exceeded, "no room for another " + std::string(faultKindNames.name(kind)),
            "plan fewer faults or a longer time");
    }

    schedule_settings m_settings;
    random_source m_random;
};

} // namespace

std::vector<planned_fault> makeSchedule(const schedule_settings& settings)
{
    if (settings.nodes < minRunningNodes + 2 || settings.engines == 0 || settings.services == 0)
        throw error(error_kind::invalid_argument, "a schedule needs 5 nodes, an engine and a service", "start more processes");
    return schedule_generator(settings).make();
}

std::string scheduleLine(const planned_fault& fault)
{
    std::ostringstream line;
    line << "at_ms=" << fault.at.count() << " fault=" << faultKindNames.name(fault.kind) << " length_ms=" << fault.length.count()
         << " target=" << fault.target << " second=" << fault.second;
    return line.str();
}

} // namespace carawaylink::bench
