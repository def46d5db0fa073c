#include "standins/service_model.h"

namespace carawaylink {

service_model::service_model(std::uint64_t seed)
    : m_faults(serviceFaults)
    , m_random(seed)
{
}

service_outcome service_model::handle(bool hasEffect)
{
    if (m_faults.on(service_fault::leaving))
        return { service_outcome::kind::leaving, 0 };
    if (drawn(service_fault::fail_share))
        return { service_outcome::kind::failed, 0 };
    const auto execution = hasEffect ? ++m_executions : 0;
    const bool lost = drawn(service_fault::lose_answer_share);
    return { lost ? service_outcome::kind::answer_lost : service_outcome::kind::answered, execution };
}

duration service_model::delay() const
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(m_faults.number(service_fault::delay_ms)));
}

bool service_model::drawn(service_fault share)
{
    const double limit = m_faults.number(share);
    return limit > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < limit;
}

} // namespace carawaylink
