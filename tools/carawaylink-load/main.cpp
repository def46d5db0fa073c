#include "commands.h"

#include "base/error.h"
#include "base/log.h"

#include <CLI/CLI.hpp>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace carawaylink;
    using namespace carawaylink::load;
    startLog("carawaylink-load");
    CLI::App app("Open-loop load generator and history checker for Carawaylink");
    app.set_version_flag("--version", "carawaylink-load 0.1.0");
    app.require_subcommand(1);
    int status = 0;
    addGenerateCommand(app, status);
    addRunCommand(app, status);
    addCheckCommand(app, status);
    addSummaryCommand(app, status);
    addReportCommand(app, status);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& failure) {
        return app.exit(failure) == 0 ? 0 : 2;
    } catch (const std::exception& failure) {
        std::cerr << "carawaylink-load: " << failure.what() << '\n';
        return 2;
    }
    return status;
}
