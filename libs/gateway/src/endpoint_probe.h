#pragma once

#include "base/ids.h"

#include <boost/asio/io_context.hpp>
#include <functional>

namespace carawaylink::gateway {

/// Tries to connect to an address within this time, and closes the connection.
void probePath(
    boost::asio::io_context& context, const endpoint_id& address, duration timeout, std::function<void(bool isConnected)> onResult);

/// Finds out by a connection whether the process at an address has ended. Failures of this node's own count as not ended.
void probeEndpoint(boost::asio::io_context& context, const endpoint_id& address, std::function<void(bool hasEnded)> onResult);

} // namespace carawaylink::gateway
