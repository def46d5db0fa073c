#include "cli/command_line.h"

#include "base/error.h"
#include "cli/documents.h"
#include "cli/exit_code.h"
#include "http/message.h"

#include <CLI/CLI.hpp>
#include <sstream>

namespace carawaylink {
namespace {

constexpr auto version = "carawaylink 0.1.0";

constexpr auto exitCodes = R"(
Exit codes: 0 done; 1 refused or failed; 2 wrong usage or an invalid file; 3 no node answered;
4 not known to be in force on all nodes within the time limit (--limit).
The operator key comes from --key or CARAWAYLINK_OPERATOR_KEY; the variable keeps it out of the list of processes.)";

/// Turns arguments into a request; holds the values that CLI11 writes into.
class command_line_parser {
public:
    explicit command_line_parser(const std::map<std::string, std::string>& environment)
        : m_app("Operates a fleet of carawaylinkd nodes.", "carawaylink")
    {
        if (const auto user = environment.find("USER"); user != environment.end())
            m_request.author = user->second;
        if (const auto key = environment.find("CARAWAYLINK_OPERATOR_KEY"); key != environment.end())
            m_request.key = key->second;
        m_app.require_subcommand(1);
        m_app.fallthrough();
        m_app.footer(std::string("Example: carawaylink --node 127.0.0.1:8701 status\n") + exitCodes);
        m_app.set_version_flag("--version", version);
        m_app.add_option("--output", m_output, "text or json")->check(CLI::IsMember({ "text", "json" }))->capture_default_str();
        m_app.add_option("--node", m_request.nodes, "HTTP address of a node (ip:port); repeat it to name nodes to try next")
            ->check(CLI::Validator(checkAddress, "IP:PORT"))
            ->expected(1)
            ->multi_option_policy(CLI::MultiOptionPolicy::TakeAll);
        m_app.add_option("--key", m_request.key, "operator key; default: CARAWAYLINK_OPERATOR_KEY");
        addConfigVerbs();
        addExceptionVerbs();
        addOtherVerbs();
        addRolloutVerbs();
    }

    std::variant<cli_request, cli_early_exit> parse(std::vector<std::string> arguments)
    {
        try {
            std::ranges::reverse(arguments);
            m_app.parse(std::move(arguments));
        } catch (const CLI::ParseError& problem) {
            std::ostringstream out;
            const bool isHelp = m_app.exit(problem, out, out) == 0;
            return cli_early_exit { isHelp ? 0 : static_cast<int>(exit_code::invalid), out.str() };
        }
        return complete();
    }

private:
    static std::string checkAddress(const std::string& text)
    {
        try {
            return parseAddress(text).port == 0 ? "port 0 is not an address to connect to" : "";
        } catch (const error& problem) {
            return problem.message();
        }
    }

    static std::string checkRequestId(const std::string& text)
    {
        constexpr auto allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_";
        const bool isValid = !text.empty() && text.find_first_not_of(allowed) == std::string::npos;
        return isValid ? "" : "a request id holds letters, digits, - and _ only";
    }

    CLI::App* add(CLI::App& parent, const std::string& name, cli_verb verb, const std::string& description, const std::string& example)
    {
        auto* command = parent.add_subcommand(name, description);
        command->fallthrough();
        command->footer("Example: carawaylink " + example);
        command->callback([this, verb] { m_request.verb = verb; });
        return command;
    }

    void addLimit(CLI::App& command)
    {
        command.add_option("--limit", m_limitSeconds, "seconds for the change to be in force on all nodes")
            ->check(CLI::Range(0.1, 3600.0))
            ->capture_default_str();
    }

    void addConfigVerbs()
    {
        auto* config = m_app.add_subcommand("config", "The fleet configuration.");
        config->require_subcommand(1);
        config->fallthrough();
        config->footer("Example: carawaylink config check fleet.yaml");
        const auto addFile = [this](CLI::App& command) { command.add_option("FILE", m_request.file, "YAML file")->required(); };
        auto* check
            = add(*config, "check", cli_verb::config_check, "Reports every fault of a file; needs no node.", "config check fleet.yaml");
        addFile(*check);
        check->add_flag("--daemon", m_request.isDaemonFile, "the file holds the settings of a carawaylinkd");
        addFile(*add(*config, "diff", cli_verb::config_diff, "Shows what applying a file would change.",
            "--node 127.0.0.1:8701 config diff fleet.yaml"));
        auto* apply = add(*config, "apply", cli_verb::config_apply, "Puts a file into force and waits until all live nodes report it.",
            "--node 127.0.0.1:8701 --node 127.0.0.1:8702 config apply fleet.yaml");
        addFile(*apply);
        apply->add_flag("--reset", m_request.isReset,
            "last resort where log records were lost before any node read them: replaces the configuration whatever its version");
        apply->add_option("--author", m_request.author, "who makes the change; default: USER");
        addLimit(*apply);
        add(*config, "status", cli_verb::config_status, "Shows the version on every node.", "--node 127.0.0.1:8701 config status")
            ->add_flag("--document", m_request.printDocument, "print the YAML in force");
    }

    void addExceptionVerbs()
    {
        auto* exception = m_app.add_subcommand("exception", "Exceptions from the fleet-wide defaults.");
        exception->require_subcommand(1);
        exception->fallthrough();
        exception->footer("Example: carawaylink --node 127.0.0.1:8701 exception list");
        auto& fields = m_request.exception;
        auto* addition = add(*exception, "add", cli_verb::exception_add, "Adds an exception for one service, team or endpoint.",
            "--node 127.0.0.1:8701 exception add --scope team --target choir-1 --setting max_waiting_per_team --value 50 "
            "--reason 'batch import' --author ana --expires 2027-01-31T08:00:00Z");
        addition->add_option("--scope", m_scope, "service, team or endpoint")
            ->required()
            ->check(CLI::IsMember({ "service", "team", "endpoint" }));
        addition->add_option("--target", fields.target, "name of the service or team, or ip:port of the endpoint")->required();
        addition->add_option("--setting", fields.setting, "field of the defaults")->required();
        addition->add_option("--value", fields.value, "value of the field for this target")->required();
        addition->add_option("--reason", fields.reason, "why the exception is needed")->required();
        addition->add_option("--expires", fields.expires, "time in UTC such as 2027-01-31T08:00:00Z; default: never");
        addition->add_option("--id", fields.id, "name of the exception; default: SCOPE-TARGET-SETTING");
        addition->add_option("--author", m_request.author, "who asks for the exception")->required();
        addLimit(*addition);
        auto* removal = add(*exception, "remove", cli_verb::exception_remove, "Removes an exception.",
            "--node 127.0.0.1:8701 exception remove team-choir-1-max_waiting_per_team");
        removal->add_option("ID", fields.id, "id as shown by exception list")->required();
        removal->add_option("--author", m_request.author, "who makes the change; default: USER");
        addLimit(*removal);
        add(*exception, "list", cli_verb::exception_list, "Lists the exceptions with their reasons.",
            "--node 127.0.0.1:8701 exception list");
    }

    void addOtherVerbs()
    {
        add(m_app, "status", cli_verb::status, "Shows members, pools and endpoints as one node sees them.", "--node 127.0.0.1:8701 status");
        auto* explain = add(m_app, "explain", cli_verb::explain, "Tells what happened to a request, from a node or from logs.",
            "explain 9c41d07be2a35f68 --log node-1.log --log node-2.log");
        explain->add_option("REQUEST", m_request.requestId, "id of the request, as in the logs")
            ->required()
            ->check(CLI::Validator(checkRequestId, "ID"));
        explain->add_option("--log", m_request.logFiles, "log of a node; repeat it for more nodes; needs no --node")
            ->expected(1)
            ->multi_option_policy(CLI::MultiOptionPolicy::TakeAll);
        add(m_app, "drain", cli_verb::drain, "Makes the node after --node finish its requests and exit.", "--node 127.0.0.1:8701 drain");
        add(m_app, "usage", cli_verb::usage, "Shows the usage of every team by tier.", "--node 127.0.0.1:8701 --output json usage");
        add(m_app, "orders", cli_verb::orders, "Shows the orders to engines and their state.", "--node 127.0.0.1:8701 orders");
    }

    void addRolloutVerbs()
    {
        auto* rollout = m_app.add_subcommand("rollout", "Moves of services to another version, on the users' platform.");
        rollout->require_subcommand(1);
        rollout->fallthrough();
        rollout->footer("Example: carawaylink --node 127.0.0.1:8705 rollout status huvo11a");
        auto* status = add(*rollout, "status", cli_verb::rollout_status,
            "Shows the order to a service as the node after --node knows it; --node takes the metrics address, and no key is needed.",
            "--node 127.0.0.1:8705 rollout status huvo11a");
        status->add_option("SERVICE", m_request.service, "name of the service")
            ->required()
            ->check(CLI::Validator(checkRequestId, "SERVICE"));
    }

    std::variant<cli_request, cli_early_exit> complete()
    {
        const auto refuse = [](const std::string& text) {
            return cli_early_exit { static_cast<int>(exit_code::invalid), text + "\nRun with --help for more information.\n" };
        };
        auto& request = m_request;
        const bool changes = request.verb == cli_verb::config_apply || request.verb == cli_verb::exception_add
            || request.verb == cli_verb::exception_remove;
        const bool needsNode = request.verb != cli_verb::config_check && request.logFiles.empty();
        if (needsNode) {
            if (request.nodes.empty())
                return refuse("--node is required: the HTTP address of a node");
            // The metrics address of a node asks for none.
            if (request.key.empty() && request.verb != cli_verb::rollout_status)
                return refuse("--key or CARAWAYLINK_OPERATOR_KEY is required: the key of an operator");
        }
        // A drain that moved on to another address would stop a node that nobody named first.
        if (request.verb == cli_verb::drain && request.nodes.size() != 1)
            return refuse("drain takes exactly one --node: the node to drain");
        if (changes && request.author.empty())
            return refuse("--author is required: who makes the change");
        request.output = *outputFormatNames.parse(m_output);
        request.limit = std::chrono::duration_cast<duration>(std::chrono::duration<double>(m_limitSeconds));
        if (request.verb == cli_verb::exception_add) {
            request.exception.author = request.author;
            for (const auto scope : schema::EnumValuesexception_scope()) {
                if (m_scope == schema::EnumNameexception_scope(scope))
                    request.exception.scope = scope;
            }
            if (request.exception.id.empty())
                request.exception.id = defaultExceptionId(request.exception);
        }
        return std::move(request);
    }

    CLI::App m_app;
    cli_request m_request;
    std::string m_output = "text";
    std::string m_scope;
    double m_limitSeconds = 14;
};

} // namespace

std::variant<cli_request, cli_early_exit> parseCommandLine(
    std::vector<std::string> arguments, const std::map<std::string, std::string>& environment)
{
    return command_line_parser(environment).parse(std::move(arguments));
}

} // namespace carawaylink
