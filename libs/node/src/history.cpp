#include "history.h"

#include "base/error.h"

#include <boost/json/serialize.hpp>
#include <chrono>

namespace carawaylink {

history::history(const std::string& path, std::string node, std::uint64_t incarnation)
    : m_node(std::move(node))
    , m_incarnation(incarnation)
{
    if (path.empty())
        return;
    m_file.reset(std::fopen(path.c_str(), "a"));
    if (!m_file)
        throw error(error_kind::unavailable, "cannot open history_file \"" + path + "\"", "set it to a writable file or omit the setting");
}

void history::record(std::string_view event, boost::json::object fields)
{
    if (!m_file)
        return;
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    fields["source"] = "node";
    fields["node"] = m_node;
    fields["incarnation"] = m_incarnation;
    fields["t_us"] = std::chrono::duration_cast<std::chrono::microseconds>(now).count();
    fields["event"] = event;
    const auto line = boost::json::serialize(fields) + "\n";
    const std::lock_guard lock(m_mutex);
    std::fwrite(line.data(), 1, line.size(), m_file.get());
    std::fflush(m_file.get());
}

} // namespace carawaylink
