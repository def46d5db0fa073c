#pragma once

#include <boost/json/object.hpp>
#include <cstdio>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace carawaylink {

/// Writes one JSON line per decision of this node for the history checker; thread-safe; does nothing without a file.
class history {
public:
    /// Throws error(unavailable) where the file cannot be opened. An empty path writes nothing.
    history(const std::string& path, std::string node, std::uint64_t incarnation);

    /// Names the node once its address is known; call before the first record.
    void setNode(std::string node) { m_node = std::move(node); }
    bool enabled() const { return m_file != nullptr; }
    void record(std::string_view event, boost::json::object fields);

private:
    struct closer {
        void operator()(std::FILE* file) const { std::fclose(file); }
    };
    std::string m_node;
    std::uint64_t m_incarnation;
    std::unique_ptr<std::FILE, closer> m_file;
    std::mutex m_mutex;
};

} // namespace carawaylink
