#include "standins/vm_list_model.h"

namespace carawaylink {

namespace {

/// The largest lag_ms plus a margin.
constexpr auto historyKept = std::chrono::seconds(610);

} // namespace

vm_list_model::vm_list_model(std::uint64_t seed, monotonic_time start)
    : m_faults(vmListFaults)
    , m_random(seed)
    , m_history(historyKept, duration(1))
{
    m_history.push(start, {});
}

void vm_list_model::put(monotonic_time now, vm_entry entry)
{
    auto address = entry.address;
    m_current.insert_or_assign(std::move(address), std::move(entry));
    m_history.push(now, m_current);
}

bool vm_list_model::remove(monotonic_time now, const std::string& address)
{
    if (m_current.erase(address) == 0)
        return false;
    m_history.push(now, m_current);
    return true;
}

std::vector<vm_entry> vm_list_model::list(monotonic_time now)
{
    const std::chrono::duration<double, std::milli> lag(m_faults.number(vm_list_fault::lag_ms));
    const auto seen = m_history.read(m_staleSince.value_or(now) - std::chrono::duration_cast<duration>(lag));
    const double omitted = m_faults.number(vm_list_fault::omit_share);
    std::vector<vm_entry> result;
    for (const auto& [address, entry] : seen) {
        if (omitted == 0 || std::uniform_real_distribution<double>(0, 1)(m_random) >= omitted)
            result.push_back(entry);
    }
    return result;
}

void vm_list_model::applyFaults(monotonic_time now, std::string_view json)
{
    m_faults.apply(json);
    if (!m_faults.on(vm_list_fault::stale))
        m_staleSince.reset();
    else if (!m_staleSince)
        m_staleSince = now;
}

} // namespace carawaylink
