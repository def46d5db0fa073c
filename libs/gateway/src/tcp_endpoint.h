#pragma once

#include "http/message.h"

#include <boost/asio/ip/tcp.hpp>

namespace carawaylink::gateway {

/// Throws error(invalid_argument) if the text is not "ip:port".
inline boost::asio::ip::tcp::endpoint tcpEndpoint(std::string_view address)
{
    const auto parsed = parseAddress(address);
    return { boost::asio::ip::make_address(parsed.ip), parsed.port };
}

} // namespace carawaylink::gateway
