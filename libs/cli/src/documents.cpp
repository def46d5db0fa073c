#include "cli/documents.h"

#include "base/error.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace carawaylink {

std::string readFile(const std::string& path)
{
    // The readers name the limit; reading a little more than it suffices for that.
    constexpr std::size_t maxFileBytes = 4 * maxConfigurationBytes;
    std::ifstream file(path, std::ios::binary);
    std::string text(maxFileBytes, '\0');
    if (file)
        file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (!file && !file.eof())
        throw error(error_kind::invalid_argument, "the file \"" + path + "\" cannot be read", "check its name and permissions");
    text.resize(static_cast<std::size_t>(file.gcount()));
    return text;
}

schema::fleet_configurationT readDocument(const std::string& document)
{
    if (document.empty())
        return {};
    settings_report report;
    auto configuration = loadFleetConfiguration(document, report);
    if (!configuration)
        throw error(error_kind::invalid_message, "the configuration of the node is not valid here:\n" + toString(report),
            "use a carawaylink of the version of the nodes");
    return std::move(*configuration);
}

std::string defaultExceptionId(const schema::exception_definitionT& exception)
{
    return std::string(schema::EnumNameexception_scope(exception.scope)) + "-" + exception.target + "-" + exception.setting;
}

void removeException(schema::fleet_configurationT& configuration, const std::string& id)
{
    if (std::erase_if(configuration.exceptions, [&](const auto& exception) { return exception->id == id; }) > 0)
        return;
    std::string known;
    for (const auto& exception : configuration.exceptions)
        known += (known.empty() ? "" : ", ") + exception->id;
    throw error(
        error_kind::not_found, "there is no exception \"" + id + "\"", known.empty() ? "there are no exceptions" : "use one of " + known);
}

} // namespace carawaylink
