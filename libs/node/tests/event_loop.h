#pragma once

#include "base/ids.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <initializer_list>
#include <thread>

namespace carawaylink {

inline constexpr auto waitLimit = std::chrono::seconds(10);

/// Runs event loops in turn on this thread until a condition holds; a test failure after the limit.
template <typename Condition>
bool runUntil(std::initializer_list<boost::asio::io_context*> contexts, Condition done, duration limit = waitLimit)
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

template <typename Condition> bool runUntil(boost::asio::io_context& context, Condition done, duration limit = waitLimit)
{
    return runUntil({ &context }, std::move(done), limit);
}

/// Waits for a condition that other threads bring about.
template <typename Condition> bool waitUntil(Condition done, duration limit = waitLimit)
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
