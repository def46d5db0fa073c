#include "placement/version_rules.h"

namespace carawaylink::placement {

namespace {

// Above the time by which an order may be read later than the entries of its endpoints.
constexpr auto holdTime = std::chrono::seconds(3);

} // namespace

std::vector<std::string> version_history::update(
    const std::vector<discovery::endpoint_record>& records, const std::string& target, monotonic_time now)
{
    add(records, now);
    const auto isHeld = [&](const std::string& version) { return version != target && m_heldUntil.at(version) > now; };
    std::vector<std::string> held;
    bool hasOther = false;
    for (const auto& record : records) {
        if (!isHeld(record.version))
            hasOther = true;
        else if (std::ranges::find(held, record.version) == held.end())
            held.push_back(record.version);
    }
    m_isHolding = !held.empty();
    // Without any other endpoint, there is nothing else to use.
    return hasOther ? held : std::vector<std::string> {};
}

// Of the versions of the first list, the one whose endpoint started first counts as there before: a process may start between the entries
// of a new version and its order.
void version_history::add(const std::vector<discovery::endpoint_record>& records, monotonic_time now)
{
    if (m_heldUntil.empty() && !records.empty()) {
        const auto oldest = std::ranges::min_element(records, {}, &discovery::endpoint_record::startedAtMs);
        m_heldUntil.emplace(oldest->version, now);
    }
    for (const auto& record : records)
        m_heldUntil.try_emplace(record.version, now + holdTime);
}

} // namespace carawaylink::placement
