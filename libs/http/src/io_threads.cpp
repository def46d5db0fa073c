#include "http/io_threads.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <thread>
#include <vector>

namespace carawaylink {

namespace {

// A pending handler of one loop may own a socket of another loop, so all loops must discard their handlers before the first
// loop is destroyed.
class loop_context : public boost::asio::io_context {
public:
    using boost::asio::io_context::io_context;
    void dropHandlers() { shutdown(); }
};

} // namespace

struct io_threads::implementation {
    struct loop {
        loop_context context { 1 };
        boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work { context.get_executor() };
        std::thread thread;
    };
    std::vector<std::unique_ptr<loop>> loops;
};

io_threads::io_threads(std::size_t count)
    : m_implementation(std::make_unique<implementation>())
{
    for (std::size_t i = 0; i < count; ++i) {
        auto& loop = *m_implementation->loops.emplace_back(std::make_unique<implementation::loop>());
        loop.thread = std::thread([&loop] { loop.context.run(); });
    }
}

io_threads::~io_threads()
{
    stop();
}

std::size_t io_threads::size() const
{
    return m_implementation->loops.size();
}

boost::asio::io_context& io_threads::context(std::size_t index)
{
    return m_implementation->loops.at(index)->context;
}

void io_threads::post(std::size_t index, std::function<void()> work)
{
    boost::asio::post(context(index), std::move(work));
}

void io_threads::stop()
{
    for (auto& loop : m_implementation->loops)
        loop->context.stop();
    for (auto& loop : m_implementation->loops) {
        if (loop->thread.joinable())
            loop->thread.join();
    }
    for (auto& loop : m_implementation->loops)
        loop->context.dropHandlers();
}

} // namespace carawaylink
