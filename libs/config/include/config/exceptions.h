#pragma once

#include "settings/settings.h"

#include <chrono>
#include <optional>
#include <string_view>

namespace carawaylink {

/// Applies the exceptions for one service, team or endpoint that have not expired at `nowUtc`. An exception expires at the
/// very second it names. Throws error(invalid_settings) for a configuration that loadFleetConfiguration() would refuse.
void applyExceptions(schema::fleet_defaultsT& defaults, const schema::fleet_configurationT& configuration, schema::exception_scope scope,
    std::string_view target, std::chrono::sys_seconds nowUtc);

/// The fleet defaults with the exceptions for one target applied. Where a service and an endpoint both have exceptions, call
/// applyExceptions() on the result for the narrower of the two.
schema::fleet_defaultsT resolveDefaults(const schema::fleet_configurationT& configuration, schema::exception_scope scope,
    std::string_view target, std::chrono::sys_seconds nowUtc);

/// The earliest expiry after `nowUtc`: the time at which resolved defaults have to be resolved again.
std::optional<std::chrono::sys_seconds> nextExpiry(const schema::fleet_configurationT& configuration, std::chrono::sys_seconds nowUtc);

} // namespace carawaylink
