#pragma once

#include "base/ids.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <initializer_list>
#include <thread>

namespace carawaylink {

inline constexpr auto waitTimeout = std::chrono::seconds(10);

/// Runs event loops in turn on this thread until the condition holds. Adds a test failure if the limit passes first.
template <typename Condition>
bool runUntil(std::initializer_list<boost::asio::io_context*> contexts, Condition done, duration limit = waitTimeout)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!done()) {
        if (std::chrono::steady_clock::now() > end) {
            ADD_FAILURE() << "condition did not hold within the limit";
            return false;
        }
        for (auto* context : contexts) {
            context->restart();
            context->run_one_for(std::chrono::milliseconds(2));
            context->poll();
        }
    }
    return true;
}

template <typename Condition> bool runUntil(boost::asio::io_context& context, Condition done, duration limit = waitTimeout)
{
    return runUntil({ &context }, std::move(done), limit);
}

/// Waits until other threads make the condition true. Adds a test failure if the limit passes first.
template <typename Condition> bool waitUntil(Condition done, duration limit = waitTimeout)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!done()) {
        if (std::chrono::steady_clock::now() > end) {
            ADD_FAILURE() << "condition did not hold within the limit";
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

} // namespace carawaylink
