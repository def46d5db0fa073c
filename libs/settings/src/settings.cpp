#include "settings/settings.h"

#include "checks.h"

#include <charconv>

namespace carawaylink {
namespace {

using namespace settings_detail;

template <typename Table, typename Check>
std::optional<typename Table::NativeTableType> load(std::string_view text, settings_report& report, Check check)
{
    reading result;
    const auto buffer = readTable(text, *Table::MiniReflectTypeTable(), result);
    typename Table::NativeTableType object;
    flatbuffers::GetRoot<Table>(buffer.data())->UnPackTo(&object);
    check(object, result);
    if (!finish(result, report))
        return std::nullopt;
    return object;
}

} // namespace

std::string toString(const settings_fault& fault)
{
    std::string text = fault.line == 0 ? "" : "line " + std::to_string(fault.line) + ": ";
    if (!fault.field.empty())
        text += fault.field + ": ";
    return text + fault.message + "; remedy: " + fault.remedy;
}

std::string toString(const settings_report& report)
{
    std::string text;
    for (const auto& fault : report.faults)
        text += toString(fault) + "\n";
    return text;
}

std::optional<schema::daemon_settingsT> loadDaemonSettings(std::string_view text, settings_report& report)
{
    return load<schema::daemon_settings>(text, report, checkDaemon);
}

std::optional<schema::fleet_configurationT> loadFleetConfiguration(std::string_view text, settings_report& report)
{
    return load<schema::fleet_configuration>(text, report, [&](const auto& configuration, reading& result) {
        checkFleet(configuration, result);
        // The canonical form names fields that the text may leave out, but without aliases it is never ten times as
        // long. Writing a large configuration costs as much as reading it.
        const bool isSmall = text.size() * 10 < maxConfigurationBytes && text.find('*') == std::string_view::npos;
        if (!result.report.faults.empty() || isSmall)
            return;
        if (const auto size = toYaml(configuration).size(); size > maxConfigurationBytes)
            result.add("",
                "the configuration has " + std::to_string(size) + " bytes as canonical YAML, more than "
                    + std::to_string(maxConfigurationBytes),
                "remove teams or exceptions that are not in use");
    });
}

std::optional<std::chrono::sys_seconds> parseUtcTime(std::string_view text)
{
    constexpr std::string_view form = "0000-00-00T00:00:00Z";
    if (text.size() != form.size())
        return std::nullopt;
    for (std::size_t i = 0; i < form.size(); ++i) {
        if (form[i] == '0' ? text[i] < '0' || text[i] > '9' : text[i] != form[i])
            return std::nullopt;
    }
    const auto number = [&](std::size_t from, std::size_t length) {
        unsigned value = 0;
        std::from_chars(text.data() + from, text.data() + from + length, value);
        return value;
    };
    const std::chrono::year_month_day date(
        std::chrono::year(static_cast<int>(number(0, 4))), std::chrono::month(number(5, 2)), std::chrono::day(number(8, 2)));
    const unsigned hours = number(11, 2);
    const unsigned minutes = number(14, 2);
    const unsigned seconds = number(17, 2);
    if (!date.ok() || hours > 23 || minutes > 59 || seconds > 59)
        return std::nullopt;
    return std::chrono::sys_days(date) + std::chrono::hours(hours) + std::chrono::minutes(minutes) + std::chrono::seconds(seconds);
}

} // namespace carawaylink
