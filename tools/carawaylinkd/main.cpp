#include "base/allocator.h"
#include "base/error.h"
#include "base/log.h"
#include "node/node.h"
#include "platform_command.h"
#include "settings/settings.h"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace {

constexpr int exitStartFailed = 1;
constexpr int exitInvalidSettings = 2;
constexpr int exitDrainIncomplete = 3;
constexpr int exitSecondSignal = 4;

std::optional<carawaylink::schema::daemon_settingsT> readSettings(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": cannot be read; remedy: name a readable settings file\n";
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    carawaylink::settings_report report;
    auto settings = carawaylink::loadDaemonSettings(text.str(), report);
    if (!settings)
        std::cerr << path << ":\n" << carawaylink::toString(report);
    return settings;
}

int serve(const carawaylink::schema::daemon_settingsT& settings)
{
    carawaylink::node daemon(settings);
    daemon.start();
    std::cout << "listening http=" << daemon.httpAddress() << " node=" << daemon.nodeAddress() << std::endl;

    boost::asio::io_context signalLoop { 1 };
    boost::asio::signal_set signals(signalLoop, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code status, int) {
        if (status)
            return;
        daemon.drain();
        signals.async_wait([](boost::system::error_code again, int) {
            if (again)
                return;
            carawaylink::log_event("stopped_at_once", carawaylink::log_level::warning);
            std::_Exit(exitSecondSignal);
        });
    });
    std::jthread signalThread([&] { signalLoop.run(); });
    const bool complete = daemon.waitUntilStopped();
    signalLoop.stop();
    return complete ? EXIT_SUCCESS : exitDrainIncomplete;
}

} // namespace

int main(int argc, char** argv)
{
    carawaylink::returnLargeBlocks();
    CLI::App app { "Carawaylink daemon: schedules requests between callers and endpoints.\n"
                   "Example: carawaylinkd --settings samples/oduya/node-1.yaml\n"
                   "Exit status: 0 stopped gracefully, 1 start failed, 2 invalid settings, 3 drain limit passed, 4 second signal" };
    app.set_version_flag("--version", "carawaylinkd 0.1.0");
    std::string path;
    bool checkOnly = false;
    app.add_option("--settings", path, "Settings file (YAML)");
    app.add_flag("--check-settings", checkOnly, "Report every fault of the settings file and exit with status 2, or 0 where it has none");
    auto* platform = app.add_subcommand("platform",
        "Serve on the users' platform, by its settings file\n"
        "Example: carawaylinkd platform --node-file /etc/carawaylink/settings.json");
    std::string nodeFile;
    platform->add_option(
        "--node-file", nodeFile, "The platform's settings file (JSON); default: the file that the platform's environment names");
    platform->add_flag(
        "--check-settings", checkOnly, "Report every fault of the settings file and exit with status 2, or 0 where it has none");
    CLI11_PARSE(app, argc, argv);

    if (platform->parsed())
        return servePlatform(nodeFile, checkOnly);
    if (path.empty()) {
        std::cerr << "--settings is missing; remedy: name a settings file, or use the command platform\n";
        return exitInvalidSettings;
    }
    const auto settings = readSettings(path);
    if (!settings)
        return exitInvalidSettings;
    if (checkOnly) {
        std::cout << path << ": valid\n";
        return EXIT_SUCCESS;
    }
    carawaylink::startLog(argv[0]);
    try {
        return serve(*settings);
    } catch (const carawaylink::error& failure) {
        carawaylink::log_event("start_failed", carawaylink::log_level::error).field("error", failure.what());
        return exitStartFailed;
    }
}
