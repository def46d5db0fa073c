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

/// Returns the value of the first header with that name, letter case ignored; nothing where there is none.
std::optional<std::string_view> findHeader(const std::vector<http_header>& headers, std::string_view name);

/// True for headers that concern one connection or the framing of one message and are not passed on: Connection, Host,
/// Content-Length, Transfer-Encoding, Keep-Alive.
bool isConnectionHeader(const http_header& header);

struct http_request {
    std::string method = "GET";
    /// Path and query.
    std::string target = "/";
    std::vector<http_header> headers;
    std::string body;

    std::string_view path() const;
    /// Value of a query parameter, percent-decoded; nothing where it is absent.
    std::optional<std::string> query(std::string_view name) const;
    std::optional<std::string_view> header(std::string_view name) const { return findHeader(headers, name); }
};

struct http_response {
    unsigned status = 200;
    std::vector<http_header> headers;
    std::string body;

    std::optional<std::string_view> header(std::string_view name) const { return findHeader(headers, name); }
};

/// A response with a JSON body.
http_response jsonResponse(unsigned status, std::string body);

/// Splits "ip:port"; throws error(invalid_argument) where it has another form.
struct socket_address {
    std::string ip;
    unsigned short port = 0;
};
socket_address parseAddress(std::string_view text);

} // namespace carawaylink
