#include "platform_command.h"

#ifdef CARAWAYLINK_PLATFORM

#include "base/error.h"
#include "gateway/gateway_node.h"
#include "platform/node_file.h"
#include "platform/platform_codec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace {

constexpr int exitStartFailed = 1;
constexpr int exitInvalidSettings = 2;

std::string settingsPath(const std::string& given)
{
    if (!given.empty())
        return given;
    const char* path = std::getenv(carawaylink::platform::nodeFileVariable);
    return path ? path : "";
}

} // namespace

int servePlatform(const std::string& given, bool checkOnly)
{
    const auto path = settingsPath(given);
    std::ifstream file(path);
    if (!file) {
        std::cerr << '"' << path << "\": cannot be read; remedy: name a readable settings file with --node-file or "
                  << carawaylink::platform::nodeFileVariable << '\n';
        return exitInvalidSettings;
    }
    std::stringstream text;
    text << file.rdbuf();
    std::vector<std::string> faults;
    const auto settings = carawaylink::platform::decodeNodeFile(text.str(), faults);
    for (const auto& fault : faults)
        std::cerr << path << ": " << fault << '\n';
    if (!faults.empty())
        return exitInvalidSettings;
    if (checkOnly) {
        std::cout << path << ": valid\n";
        return EXIT_SUCCESS;
    }
    std::signal(SIGPIPE, SIG_IGN);
    // The settings name addresses and bounds that hold for the life of the process, so a changed file takes effect at the next start.
    std::signal(SIGHUP, SIG_IGN);
    try {
        carawaylink::gateway::gateway_node node(settings, std::make_shared<carawaylink::platform::platform_codec>());
        node.start();
        boost::asio::io_context signalLoop { 1 };
        boost::asio::signal_set signals(signalLoop, SIGTERM, SIGINT);
        signals.async_wait([&](boost::system::error_code status, int) {
            if (!status)
                node.drain();
        });
        std::jthread signalThread([&] { signalLoop.run(); });
        node.waitUntilStopped();
        signalLoop.stop();
        return EXIT_SUCCESS;
    } catch (const carawaylink::error& failure) {
        std::cerr << "event=start_failed error=\"" << failure.what() << "\"\n";
        return exitStartFailed;
    }
}

#else

#include <iostream>

int servePlatform(const std::string&, bool)
{
    std::cerr << "this build has no platform adapter; remedy: build with the folder platform/\n";
    return 1;
}

#endif
