#include "http/message.h"

#include "base/error.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/string.hpp>
#include <charconv>

namespace carawaylink {

namespace {

std::string percentDecode(std::string_view text)
{
    std::string result;
    result.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        const bool encoded = text[i] == '%' && i + 2 < text.size()
            && std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ptr == text.data() + i + 3;
        if (encoded) {
            result += static_cast<char>(value);
            i += 2;
        } else {
            result += text[i] == '+' ? ' ' : text[i];
        }
    }
    return result;
}

} // namespace

std::optional<std::string_view> findHeader(const std::vector<http_header>& headers, std::string_view name)
{
    const auto found
        = std::ranges::find_if(headers, [name](const http_header& header) { return boost::beast::iequals(header.name, name); });
    return found == headers.end() ? std::nullopt : std::optional<std::string_view>(found->value);
}

bool isConnectionHeader(const http_header& header)
{
    constexpr std::array<std::string_view, 5> names { "Connection", "Host", "Content-Length", "Transfer-Encoding", "Keep-Alive" };
    return std::ranges::any_of(names, [&](std::string_view name) { return boost::beast::iequals(name, header.name); });
}

std::string_view http_request::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::optional<std::string> http_request::query(std::string_view name) const
{
    const auto start = target.find('?');
    std::string_view rest = start == std::string::npos ? std::string_view() : std::string_view(target).substr(start + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string() : percentDecode(pair.substr(equals + 1));
        if (end == std::string_view::npos)
            break;
        rest.remove_prefix(end + 1);
    }
    return std::nullopt;
}

http_response jsonResponse(unsigned status, std::string body)
{
    return { status, { { "Content-Type", "application/json" } }, std::move(body) };
}

socket_address parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    socket_address result;
    boost::system::error_code invalid;
    if (colon != std::string_view::npos) {
        result.ip = text.substr(0, colon);
        if (result.ip.size() > 2 && result.ip.front() == '[' && result.ip.back() == ']')
            result.ip = result.ip.substr(1, result.ip.size() - 2);
        boost::asio::ip::make_address(result.ip, invalid);
    }
    const auto port = colon == std::string_view::npos ? std::string_view() : text.substr(colon + 1);
    const auto [end, status] = std::from_chars(port.data(), port.data() + port.size(), result.port);
    if (invalid || status != std::errc() || end != port.data() + port.size())
        throw error(error_kind::invalid_argument, "address \"" + std::string(text) + "\" is not of the form IP:PORT",
            "write a numeric IP address and a port from 0 to 65535, for example 127.0.0.1:8080");
    return result;
}

} // namespace carawaylink
