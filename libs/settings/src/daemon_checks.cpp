#include "checks.h"

#include <arpa/inet.h>
#include <charconv>
#include <set>

namespace carawaylink::settings_detail {
namespace {

// 16 bytes is the shortest HMAC key that matches the 128-bit strength expected of tickets.
constexpr std::size_t minSecretBytes = 16;

std::string ipOf(const std::string& address)
{
    return address.substr(0, address.find_last_of(':'));
}
std::string portOf(const std::string& address)
{
    return address.substr(address.find_last_of(':') + 1);
}

void checkAddress(const std::string& text, const std::string& field, bool listens, reading& result)
{
    if (text.empty())
        return;
    if (!isAddress(text, listens)) {
        result.add(field, "\"" + text + "\" is not an address",
            listens ? "write ip:port, such as 10.0.0.7:7700; port 0 picks a free one"
                    : "write ip:port with a port of 1 to 65535, such as 10.0.0.7:7700");
        return;
    }
    // Peers and callers are told this address, so it has to name one interface.
    if (ipOf(text) == "0.0.0.0" || ipOf(text) == "[::]")
        result.add(field, "\"" + text + "\" names no interface", "write the address at which other machines reach this vm");
}

template <typename List, typename Name> void checkUnique(const List& list, const std::string& field, Name nameOf, reading& result)
{
    std::set<std::string> seen;
    for (std::size_t i = 0; i < list.size(); ++i) {
        const std::string& name = nameOf(*list[i]);
        if (!name.empty() && !seen.insert(name).second)
            result.add(field + "[" + std::to_string(i) + "]", "\"" + name + "\" is used twice", "give every element its own name");
    }
}

} // namespace

bool isSha256(std::string_view text)
{
    return text.size() == 64 && text.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
}

bool isAddress(std::string_view text, bool anyPort)
{
    const auto colon = text.find_last_of(':');
    if (colon == std::string_view::npos)
        return false;
    std::string ip(text.substr(0, colon));
    const auto digits = text.substr(colon + 1);
    unsigned port = 0;
    const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (status != std::errc() || end != digits.data() + digits.size() || port > 65535 || (port == 0 && !anyPort))
        return false;
    in6_addr parsed {};
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        return inet_pton(AF_INET6, ip.substr(1, ip.size() - 2).c_str(), &parsed) == 1;
    return inet_pton(AF_INET, ip.c_str(), &parsed) == 1;
}

void checkDaemon(const schema::daemon_settingsT& settings, reading& result)
{
    checkAddress(settings.node_address, "node_address", true, result);
    checkAddress(settings.http_address, "http_address", true, result);
    if (!settings.advertise_address.empty())
        checkAddress(settings.advertise_address, "advertise_address", false, result);
    checkAddress(settings.log_address, "log_address", false, result);
    checkAddress(settings.vm_list_address, "vm_list_address", false, result);
    for (std::size_t i = 0; i < settings.seeds.size(); ++i)
        checkAddress(settings.seeds[i], "seeds[" + std::to_string(i) + "]", false, result);
    if (!settings.node_address.empty() && settings.node_address == settings.http_address && portOf(settings.node_address) != "0")
        result.add("http_address", "\"" + settings.http_address + "\" is also the node address", "give callers a port of their own");
    for (std::size_t i = 0; i < settings.cluster_keys.size(); ++i) {
        const auto size = settings.cluster_keys[i]->secret.size();
        // The message leaves out the secret.
        if (size > 0 && size < minSecretBytes)
            result.add("cluster_keys[" + std::to_string(i) + "].secret",
                "has " + std::to_string(size) + " bytes, fewer than " + std::to_string(minSecretBytes),
                "use a random secret of 16 bytes or more");
    }
    for (std::size_t i = 0; i < settings.operator_keys.size(); ++i) {
        const auto& hash = settings.operator_keys[i]->sha256;
        if (!hash.empty() && !isSha256(hash))
            result.add("operator_keys[" + std::to_string(i) + "].sha256", "is not a SHA-256 hash",
                "write 64 hexadecimal digits: printf %s KEY | sha256sum");
    }
    checkUnique(
        settings.cluster_keys, "cluster_keys", [](const auto& key) -> const std::string& { return key.id; }, result);
    checkUnique(
        settings.operator_keys, "operator_keys", [](const auto& key) -> const std::string& { return key.name; }, result);
}

} // namespace carawaylink::settings_detail
