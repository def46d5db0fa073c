#include "standins/program.h"
#include "standins/vm_list_server.h"

#include <CLI/CLI.hpp>

using namespace carawaylink;

int main(int argc, char** argv)
{
    CLI::App app("Stand-in of the platform's list of live and leaving vms");
    program_options program;
    addProgramOptions(app, program);
    return runProgram(app, argc, argv, [&] {
        blockStopSignals();
        vm_list_server server({ .seed = program.seed }, std::make_shared<history_writer>(program.history));
        printListening(server.listen(program.listen));
        waitForStopSignal();
    });
}
