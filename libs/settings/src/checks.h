#pragma once

#include "reader.h"

namespace carawaylink::settings_detail {

/// True for 64 hexadecimal digits.
bool isSha256(std::string_view text);

/// True for "ip:port" or "[ipv6]:port" with a port up to 65535, and above 0 unless `anyPort`.
bool isAddress(std::string_view text, bool anyPort);

void checkDaemon(const schema::daemon_settingsT& settings, reading& result);
void checkFleet(const schema::fleet_configurationT& configuration, reading& result);

} // namespace carawaylink::settings_detail
