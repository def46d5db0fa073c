#pragma once

#include <cstddef>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace carawaylink {

/// A fixed set of threads with one event loop each; a connection stays on one of them.
class io_threads {
public:
    explicit io_threads(std::size_t count);
    ~io_threads();
    io_threads(const io_threads&) = delete;
    io_threads& operator=(const io_threads&) = delete;

    std::size_t size() const;
    boost::asio::io_context& context(std::size_t index);
    /// Runs work on the thread of that index.
    void post(std::size_t index, std::function<void()> work);
    /// Stops the loops, joins the threads and drops what waits on the loops. Where objects of several io_threads hold each
    /// other, stop all of these before the first one is destroyed.
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace carawaylink
