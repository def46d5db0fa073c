#pragma once

#include <boost/json/object.hpp>
#include <cstdio>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace carawaylink {

/// Writes one JSON line per decision of this node for the history checker. Thread-safe; does nothing if no file is set.
class history {
public:
    /// Throws error(unavailable) if the file cannot be opened. An empty path disables the history.
    history(const std::string& path, std::string node, std::uint64_t incarnation);

    /// Sets the node's name once its address is known; must be called before the first record.
    void setNode(std::string node) { m_node = std::move(node); }
    bool enabled() const { return m_file != nullptr; }
    void record(std::string_view event, boost::json::object fields);

private:
    struct file_closer {
        void operator()(std::FILE* file) const { std::fclose(file); }
    };
    std::string m_node;
    std::uint64_t m_incarnation;
    std::unique_ptr<std::FILE, file_closer> m_file;
    std::mutex m_mutex;
};

} // namespace carawaylink
