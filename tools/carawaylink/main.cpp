#include "base/random.h"
#include "cli/commands.h"
#include "http/client.h"

#include <cstdlib>
#include <iostream>
#include <thread>

namespace {

using namespace carawaylink;

/// Clocks and random ids of this process.
class system_platform {
public:
    monotonic_time now() const { return std::chrono::steady_clock::now(); }
    void sleep(duration wait) const { std::this_thread::sleep_for(wait); }
    std::chrono::sys_seconds utcNow() const { return std::chrono::floor<std::chrono::seconds>(std::chrono::system_clock::now()); }
    std::string newId() const { return toString(request_id { randomSeed(), randomSeed() }); }
};

std::map<std::string, std::string> readEnvironment()
{
    std::map<std::string, std::string> environment;
    for (const auto* name : { "CARAWAYLINK_OPERATOR_KEY", "USER" }) {
        if (const char* value = std::getenv(name))
            environment[name] = value;
    }
    return environment;
}

} // namespace

int main(int argc, char** argv)
{
    blocking_http_client transport;
    system_platform platform;
    return runCommandLine({ argv + 1, argv + argc }, readEnvironment(), transport, platform, std::cout, std::cerr);
}
