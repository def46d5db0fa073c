#pragma once

#include <cstddef>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace carawaylink {

/// A fixed set of threads, each running its own event loop. A connection stays on one thread.
class io_threads {
public:
    explicit io_threads(std::size_t count);
    ~io_threads();
    io_threads(const io_threads&) = delete;
    io_threads& operator=(const io_threads&) = delete;

    std::size_t size() const;
    boost::asio::io_context& context(std::size_t index);
    /// Queues work for the thread with the given index.
    void post(std::size_t index, std::function<void()> work);
    /// Stops the loops, joins the threads and discards pending handlers. If objects of several io_threads reference each
    /// other, stop all of these io_threads before destroying the first.
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace carawaylink
