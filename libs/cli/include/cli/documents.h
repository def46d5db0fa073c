#pragma once

#include "settings/settings.h"

#include <string>

namespace carawaylink {

/// Reads a file of at most a few megabytes; throws error(invalid_argument) where that fails.
std::string readFile(const std::string& path);

/// Reads the document that a node sent; empty text is the configuration of version 0.
/// Throws error(invalid_message) where this program cannot read it.
schema::fleet_configurationT readDocument(const std::string& document);

/// Id of an exception without one: "team-choir-1-pool_size".
std::string defaultExceptionId(const schema::exception_definitionT& exception);

/// Throws error(not_found), with the nearest or all known ids, where there is no such exception.
void removeException(schema::fleet_configurationT& configuration, const std::string& id);

} // namespace carawaylink
