#include "bench/child_process.h"

#include "base/error.h"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ;

namespace carawaylink::bench {

namespace {

constexpr auto pollInterval = std::chrono::milliseconds(5);
constexpr int signalStatusBase = 128;

std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string lastLines(const std::string& text)
{
    constexpr std::size_t maxBytes = 1000;
    return text.size() <= maxBytes ? text : text.substr(text.size() - maxBytes);
}

std::map<std::string, std::string> parsePairs(const std::string& line)
{
    std::map<std::string, std::string> pairs;
    std::istringstream words(line);
    for (std::string word; words >> word;) {
        const auto equals = word.find('=');
        if (equals != std::string::npos)
            pairs[word.substr(0, equals)] = word.substr(equals + 1);
    }
    return pairs;
}

} // namespace

child_process::child_process(std::string name, const std::string& folder, const std::vector<std::string>& command)
    : m_name(std::move(name))
    , m_outputPath(folder + "/" + m_name + ".out")
    , m_errorPath(folder + "/" + m_name + ".err")
{
    std::vector<char*> arguments;
    std::ranges::transform(command, std::back_inserter(arguments), [](const std::string& word) { return const_cast<char*>(word.c_str()); });
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    constexpr int flags = O_WRONLY | O_CREAT | O_TRUNC;
    constexpr mode_t mode = 0644;
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, m_outputPath.c_str(), flags, mode);
    posix_spawn_file_actions_addopen(&files, STDERR_FILENO, m_errorPath.c_str(), flags, mode);
    // An inherited socket of this process would stay open, and listen, after it is closed here.
    posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
    const int failed = posix_spawn(&m_id, arguments.front(), &files, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    if (failed)
        throw error(error_kind::unavailable, "cannot start " + command.front(), "run ./build.sh first");
}

child_process::~child_process()
{
    kill();
}

std::vector<std::map<std::string, std::string>> child_process::waitUntilListening(std::size_t count, duration limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        std::vector<std::map<std::string, std::string>> lines;
        std::istringstream output(readFile(m_outputPath));
        for (std::string line; std::getline(output, line) && !output.eof();) {
            if (line.starts_with("listening "))
                lines.push_back(parsePairs(line));
        }
        if (lines.size() >= count)
            return lines;
        if (!running())
            break;
        std::this_thread::sleep_for(pollInterval);
    }
    throw error(error_kind::timeout, m_name + " did not start: " + lastLines(readFile(m_errorPath)), "see " + m_errorPath);
}

void child_process::signal(int number)
{
    if (running())
        ::kill(m_id, number);
}

void child_process::kill()
{
    if (m_status)
        return;
    ::kill(m_id, SIGKILL);
    int status = 0;
    waitpid(m_id, &status, 0);
    m_status = signalStatusBase + SIGKILL;
}

std::optional<int> child_process::waitForExit(duration limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (running()) {
        if (std::chrono::steady_clock::now() >= end)
            return std::nullopt;
        std::this_thread::sleep_for(pollInterval);
    }
    return m_status;
}

bool child_process::running()
{
    if (m_status)
        return false;
    int status = 0;
    if (waitpid(m_id, &status, WNOHANG) != m_id)
        return true;
    m_status = WIFSIGNALED(status) ? signalStatusBase + WTERMSIG(status) : WEXITSTATUS(status);
    return false;
}

process_usage child_process::usage() const
{
    process_usage result;
    const auto folder = "/proc/" + std::to_string(m_id);
    const auto stat = readFile(folder + "/stat");
    const auto afterName = stat.rfind(')');
    if (afterName == std::string::npos)
        return result;
    // Fields 14 and 15 of proc(5) are user and system time in clock ticks; field 24 is the resident set in pages.
    std::istringstream fields(stat.substr(afterName + 1));
    std::vector<std::string> values;
    for (std::string value; fields >> value;)
        values.push_back(value);
    constexpr std::size_t userTime = 11;
    constexpr std::size_t systemTime = 12;
    constexpr std::size_t residentPages = 21;
    if (values.size() <= residentPages)
        return result;
    const auto ticks = std::stod(values[userTime]) + std::stod(values[systemTime]);
    result.cpuSeconds = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
    result.residentBytes = std::stoull(values[residentPages]) * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    return result;
}

} // namespace carawaylink::bench
