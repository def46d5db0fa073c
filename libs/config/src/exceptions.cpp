#include "config/exceptions.h"

#include "base/error.h"

#include <algorithm>

namespace carawaylink {
namespace {

bool isExpired(const schema::exception_definitionT& exception, std::chrono::sys_seconds nowUtc)
{
    const auto expiry = parseUtcTime(exception.expires);
    return expiry && *expiry <= nowUtc;
}

} // namespace

void applyExceptions(schema::fleet_defaultsT& defaults, const schema::fleet_configurationT& configuration, schema::exception_scope scope,
    std::string_view target, std::chrono::sys_seconds nowUtc)
{
    for (const auto& exception : configuration.exceptions) {
        if (exception->scope != scope || exception->target != target || isExpired(*exception, nowUtc))
            continue;
        if (const auto fault = setDefault(defaults, exception->setting, exception->value))
            throw error(error_kind::invalid_settings, "exception \"" + exception->id + "\": " + fault->message, fault->remedy);
    }
}

schema::fleet_defaultsT resolveDefaults(const schema::fleet_configurationT& configuration, schema::exception_scope scope,
    std::string_view target, std::chrono::sys_seconds nowUtc)
{
    schema::fleet_defaultsT defaults = configuration.defaults ? *configuration.defaults : schema::fleet_defaultsT();
    applyExceptions(defaults, configuration, scope, target, nowUtc);
    return defaults;
}

std::optional<std::chrono::sys_seconds> nextExpiry(const schema::fleet_configurationT& configuration, std::chrono::sys_seconds nowUtc)
{
    std::optional<std::chrono::sys_seconds> next;
    for (const auto& exception : configuration.exceptions) {
        const auto expiry = parseUtcTime(exception->expires);
        if (expiry && *expiry > nowUtc && (!next || *expiry < *next))
            next = expiry;
    }
    return next;
}

} // namespace carawaylink
