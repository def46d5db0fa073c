#pragma once

#include "cli/admin_client.h"
#include "cli/command_line.h"
#include "cli/documents.h"
#include "cli/exit_code.h"
#include "cli/report.h"
#include "cli/request_log.h"
#include "config/difference.h"
#include "config/record.h"

#include <memory>
#include <optional>
#include <ostream>
#include <sstream>

namespace carawaylink {

/// Carries out one request of an operator.
template <http_transport Transport, cli_platform Platform> class command_runner {
public:
    command_runner(cli_request request, Transport& transport, Platform& platform, std::ostream& out, std::ostream& err)
        : m_request(std::move(request))
        , m_client(transport, m_request.nodes, m_request.key, [this] { return attemptTimeout(); })
        , m_platform(platform)
        , m_out(out)
        , m_err(err)
    {
    }

    exit_code run()
    {
        try {
            return dispatch();
        } catch (const no_node_answered& failure) {
            return fail(failure, exit_code::no_answer);
        } catch (const error& failure) {
            return fail(failure, failure.kind() == error_kind::invalid_argument ? exit_code::invalid : exit_code::failed);
        }
    }

private:
    // A node answers an append after 3 s at the latest, everything else within milliseconds.
    static constexpr duration requestTimeout = std::chrono::seconds(5);
    static constexpr duration pollInterval = std::chrono::milliseconds(200);
    // Longer than an append and its reading back take, so that a record is rarely appended twice.
    static constexpr duration resendInterval = std::chrono::seconds(2);

    exit_code dispatch()
    {
        switch (m_request.verb) {
        case cli_verb::config_check:
            return check();
        case cli_verb::config_diff:
            return diff();
        case cli_verb::config_apply:
            return apply();
        case cli_verb::config_status:
            return configStatus();
        case cli_verb::exception_add:
            return addException();
        case cli_verb::exception_remove:
            return dropException();
        case cli_verb::exception_list:
            return print(reportExceptions(readDocument(fetchConfig().document), m_platform.utcNow(), m_request.output));
        case cli_verb::status:
            return print(reportStatus(m_client.get("/admin/status"), m_request.output));
        case cli_verb::explain:
            return explain();
        case cli_verb::drain:
            m_client.expectSuccess(m_client.sendToFirst("POST", "/admin/drain", ""));
            return print(reportDrain(m_request.nodes.front(), m_request.output));
        case cli_verb::usage:
            return print(reportUsage(m_client.get("/admin/usage"), m_request.output));
        case cli_verb::orders:
            return print(reportOrders(m_client.get("/admin/orders"), m_request.output));
        case cli_verb::rollout_status:
            return print(reportRollout(m_client.get("/rollout/" + m_request.service), m_request.output));
        }
        throw error(error_kind::internal, "the verb has no command", "report this with the command line");
    }

    exit_code explain()
    {
        if (m_request.logFiles.empty())
            return print(reportExplanation(m_client.get("/admin/explain/" + m_request.requestId), m_request.output));
        request_log_reader reader(m_request.requestId);
        for (const auto& file : m_request.logFiles) {
            std::istringstream log(readFile(file));
            reader.read(log);
        }
        const auto log = reader.finish();
        print(reportRequestLog(log, m_request.output));
        return log.decisions.empty() ? exit_code::failed : exit_code::done;
    }

    exit_code print(const std::string& text)
    {
        m_out << text;
        return exit_code::done;
    }

    /// Errors go to standard error as text, and to standard output as JSON, where a script reads them.
    std::ostream& errorStream() { return m_request.output == output_format::json ? m_out : m_err; }

    exit_code fail(const error& failure, exit_code code)
    {
        errorStream() << reportError(failure, m_request.output);
        return code;
    }

    exit_code failFaults(const settings_report& report, const std::string& file)
    {
        errorStream() << reportFaults(report, file, m_request.output);
        return exit_code::invalid;
    }

    admin_config fetchConfig() { return parseAdminConfig(m_client.get("/admin/config")); }

    exit_code check()
    {
        const std::string text = readFile(m_request.file);
        settings_report report;
        const bool isValid
            = m_request.isDaemonFile ? loadDaemonSettings(text, report).has_value() : loadFleetConfiguration(text, report).has_value();
        return isValid ? print(reportValid(m_request.file, m_request.output)) : failFaults(report, m_request.file);
    }

    exit_code diff()
    {
        settings_report report;
        const auto wanted = loadFleetConfiguration(readFile(m_request.file), report);
        if (!wanted)
            return failFaults(report, m_request.file);
        const auto current = fetchConfig();
        return print(reportDifferences(diffConfigurations(readDocument(current.document), *wanted), current.version, m_request.output));
    }

    exit_code configStatus()
    {
        const std::string config = m_client.get("/admin/config");
        if (m_request.printDocument && m_request.output == output_format::text)
            return print(parseAdminConfig(config).document);
        return print(reportConfigStatus(config, m_client.get("/admin/status"), m_request.output));
    }

    exit_code apply()
    {
        settings_report report;
        const auto wanted = loadFleetConfiguration(readFile(m_request.file), report);
        if (!wanted)
            return failFaults(report, m_request.file);
        return publish(fetchConfig(), *wanted);
    }

    exit_code addException()
    {
        const auto current = fetchConfig();
        auto wanted = readDocument(current.document);
        wanted.exceptions.push_back(std::make_unique<schema::exception_definitionT>(m_request.exception));
        settings_report report;
        if (!loadFleetConfiguration(toYaml(wanted), report))
            return failFaults(report, "exception " + m_request.exception.id);
        return publish(current, wanted);
    }

    exit_code dropException()
    {
        const auto current = fetchConfig();
        auto wanted = readDocument(current.document);
        removeException(wanted, m_request.exception.id);
        return publish(current, wanted);
    }

    /// Shows the difference, sends the change on the version it was made on, and waits until it is in force.
    exit_code publish(const admin_config& current, const schema::fleet_configurationT& wanted)
    {
        change_report change;
        change.differences = diffConfigurations(readDocument(current.document), wanted);
        change.version = current.version;
        if (m_request.output == output_format::text)
            m_out << reportDifferences(change.differences, current.version, output_format::text) << std::flush;
        m_deadline = m_platform.now() + m_request.limit;
        if (change.differences.empty() && !m_request.isReset) {
            // Repeating a command that ended with not_confirmed tells whether the change is in force everywhere by now.
            change.result = "unchanged";
            return confirm(change);
        }
        change.id = m_platform.newId();
        const std::string document = toYaml(wanted);
        const auto kind = m_request.isReset ? config_record_kind::reset : config_record_kind::change;
        const auto result = append({ change.id, m_request.author, current.version, kind, document, std::nullopt });
        change.result = result.result;
        change.message = result.message;
        if (change.result == "undetermined" || change.result == "pending")
            resolve(change, document);
        else if (change.result == "accepted")
            change.version = result.version;
        if (change.result == "refused")
            return finish(change, exit_code::failed);
        if (change.result != "accepted") {
            change.result = "unknown";
            return finish(change, exit_code::not_confirmed);
        }
        return confirm(change);
    }

    exit_code confirm(change_report& change)
    {
        change.notConfirmed = awaitVersion(change.version);
        return finish(change, change.notConfirmed.empty() ? exit_code::done : exit_code::not_confirmed);
    }

    exit_code finish(const change_report& change, exit_code code)
    {
        auto& stream = code == exit_code::done || m_request.output == output_format::json ? m_out : m_err;
        stream << reportChange(change, m_request.output);
        return code;
    }

    /// Sends the record and returns its result. The answer may be lost after the record was appended, so the result is asked
    /// for by id. Where that stays without result, the record may not have reached the log and is sent again: the fold ignores
    /// a repetition. A reset is sent once only: a repetition would undo changes that were accepted in between.
    admin_record_result append(const config_record& record)
    {
        const std::string body = toJson(record);
        admin_record_result result { "pending", record.baseVersion, "" };
        const bool isOnce = record.kind == config_record_kind::reset;
        auto sendAt = m_platform.now();
        while (true) {
            const bool sends = m_platform.now() >= sendAt;
            if (sends)
                sendAt = isOnce ? monotonic_time::max() : m_platform.now() + resendInterval;
            try {
                const auto response = !sends ? m_client.send("GET", "/admin/config/records/" + record.id, "")
                    : isOnce                 ? m_client.sendToFirst("POST", "/admin/config/records", body)
                                             : m_client.send("POST", "/admin/config/records", body);
                const bool isUnknownId = response.status == 404 && !sends;
                // With a 5xx status, the log or the node is out of order for a while.
                if (response.status >= 500)
                    result.message = parseAdminFailure(response.status, response.body).message;
                else if (!isUnknownId)
                    result = parseAdminRecordResult(m_client.expectSuccess(response));
            } catch (const no_node_answered& failure) {
                result.message = failure.message();
            }
            if (result.result != "pending" || isTimeOver())
                return result;
            m_platform.sleep(pollInterval);
        }
    }

    /// The nodes do not know the result of the record; equal documents mean that the change is in force.
    void resolve(change_report& change, const std::string& document)
    {
        try {
            const auto now = fetchConfig();
            if (toYaml(readDocument(now.document)) != document)
                return;
            change.result = "accepted";
            change.version = now.version;
        } catch (const no_node_answered&) {
            // The result stays unknown.
        }
    }

    /// Returns the live nodes that do not report the version when the time is over; empty when all do.
    std::vector<std::string> awaitVersion(config_version version)
    {
        std::vector<std::string> missing { "unknown: no node answered" };
        while (true) {
            try {
                missing = lagging(parseAdminStatus(m_client.get("/admin/status")), version);
                if (missing.empty())
                    return missing;
            } catch (const no_node_answered&) {
                // Keeps the last known list.
            }
            if (isTimeOver())
                return missing;
            m_platform.sleep(pollInterval);
        }
    }

    static std::vector<std::string> lagging(const admin_status& status, config_version version)
    {
        std::vector<std::string> nodes;
        for (const auto& member : status.members) {
            if (member.isLive() && member.version < version)
                nodes.push_back(member.node + " (" + member.state + ", version " + std::to_string(member.version.value) + ")");
        }
        if (nodes.empty() && status.version < version)
            nodes.push_back("the node that answered (version " + std::to_string(status.version.value) + ")");
        return nodes;
    }

    /// While a change is under way, an attempt may not last beyond its limit.
    duration attemptTimeout() const
    {
        return m_deadline ? std::clamp<duration>(*m_deadline - m_platform.now(), pollInterval, requestTimeout) : requestTimeout;
    }

    bool isTimeOver() const { return m_platform.now() + pollInterval >= *m_deadline; }

    cli_request m_request;
    admin_client<Transport> m_client;
    Platform& m_platform;
    std::ostream& m_out;
    std::ostream& m_err;
    std::optional<monotonic_time> m_deadline; ///< set while a change is under way
};

/// Parses the arguments and carries out the request; returns the exit code of the program.
template <http_transport Transport, cli_platform Platform>
int runCommandLine(std::vector<std::string> arguments, const std::map<std::string, std::string>& environment, Transport& transport,
    Platform& platform, std::ostream& out, std::ostream& err)
{
    auto parsed = parseCommandLine(std::move(arguments), environment);
    if (const auto* early = std::get_if<cli_early_exit>(&parsed)) {
        (early->code == 0 ? out : err) << early->text;
        return early->code;
    }
    command_runner<Transport, Platform> runner(std::move(std::get<cli_request>(parsed)), transport, platform, out, err);
    return static_cast<int>(runner.run());
}

} // namespace carawaylink
