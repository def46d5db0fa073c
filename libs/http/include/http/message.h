#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawaylink {

struct http_header {
    std::string name;
    std::string value;
};

/// Returns the value of the first header with the given name (case-insensitive), or nullopt if there is none.
std::optional<std::string_view> findHeader(const std::vector<http_header>& headers, std::string_view name);

/// Returns whether the header applies to a single connection or to message framing and must not be forwarded: Connection, Host,
/// Content-Length, Transfer-Encoding, Keep-Alive.
bool isConnectionHeader(const http_header& header);

struct http_request {
    std::string method = "GET";
    /// Path and query.
    std::string target = "/";
    std::vector<http_header> headers;
    std::string body;

    std::string_view path() const;
    /// Returns the percent-decoded value of a query parameter, or nullopt if it is absent.
    std::optional<std::string> query(std::string_view name) const;
    std::optional<std::string_view> header(std::string_view name) const { return findHeader(headers, name); }
};

struct http_response {
    unsigned status = 200;
    std::vector<http_header> headers;
    std::string body;

    std::optional<std::string_view> header(std::string_view name) const { return findHeader(headers, name); }
};

/// Returns a response with Content-Type application/json.
http_response jsonResponse(unsigned status, std::string body);

struct socket_address {
    std::string ip;
    unsigned short port = 0;
};

/// Parses "ip:port" with a numeric IP address; throws error(invalid_argument) if the text is malformed.
socket_address parseAddress(std::string_view text);

} // namespace carawaylink
