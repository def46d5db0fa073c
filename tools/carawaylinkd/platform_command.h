#pragma once

#include <string>

/// Serves on the users' platform by the settings file at that path until SIGTERM; returns the exit status.
int servePlatform(const std::string& path, bool checkOnly);
