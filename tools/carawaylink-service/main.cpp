#include "standins/program.h"
#include "standins/service_server.h"

#include <CLI/CLI.hpp>

using namespace carawaylink;

int main(int argc, char** argv)
{
    CLI::App app("Stand-in of a plain service");
    program_options program;
    service_server_options options;
    addProgramOptions(app, program);
    app.add_option("--name", options.name, "Name of the service")->capture_default_str();
    return runProgram(app, argc, argv, [&] {
        options.seed = program.seed;
        blockStopSignals();
        service_server server(options, std::make_shared<history_writer>(program.history));
        printListening(server.listen(program.listen));
        waitForStopSignal();
    });
}
