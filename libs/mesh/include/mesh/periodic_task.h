#pragma once

#include "base/ids.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace carawaylink {

/// Runs work on an event loop at a fixed interval until the task is destroyed.
class periodic_task {
public:
    periodic_task(boost::asio::io_context& context, duration interval, std::function<void()> work)
        : m_timer(context)
        , m_interval(interval)
        , m_work(std::move(work))
    {
        arm();
    }

private:
    void arm()
    {
        m_timer.expires_after(m_interval);
        m_timer.async_wait([this](boost::system::error_code status) {
            if (status)
                return;
            m_work();
            arm();
        });
    }

    boost::asio::steady_timer m_timer;
    duration m_interval;
    std::function<void()> m_work;
};

} // namespace carawaylink
