#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

/// Stand-ins of the platform's store, of replicas and of clients, and control of the daemon's processes, for the cases of the review.
namespace review {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// Exit status of a case.
enum class verdict {
    held = 0,
    broken = 1,
    not_run = 2,
};

/// Thrown where a case cannot run.
struct cannot_run {
    std::string reason;
};

double secondsSinceStart();
void pauseFor(milliseconds time);
/// Waits until the condition holds; returns false after the limit.
bool waitUntil(milliseconds limit, const std::function<bool()>& condition);

/// Writes lines with the time since the start of the case to record.txt and to standard output.
class record {
public:
    static void open(const std::string& path);
    static void line(const std::string& text);
};

/// A received HTTP message. Names of headers are in lower case.
struct message {
    std::string method;
    std::string target;
    unsigned status = 0;
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string& name) const;
    std::string query(const std::string& name) const;
};

/// A TCP connection, closed by its destructor.
class connection {
public:
    explicit connection(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    /// receiveBuffer: size of the socket's receive buffer in bytes; 0 for the usual one. Such a connection also has segments as over
    /// Ethernet, since the large ones of the loopback interface let its sender buffer megabytes.
    static std::unique_ptr<connection> dial(const std::string& address, int receiveBuffer = 0);

    /// Returns false if the peer has closed the connection or nothing could be sent within the limit.
    bool send(const std::string& bytes, milliseconds limit = milliseconds(20000));
    /// Appends what arrives within the limit, at most maxBytes; returns the number of bytes, 0 at the end of the connection, -1 on an
    /// error, -2 at the limit.
    long receive(std::string& into, milliseconds limit, std::size_t maxBytes = 65536);
    /// Reads one request or response; nullopt if the connection ends before it is complete.
    std::optional<message> read(milliseconds limit);
    /// The peer has closed or reset the connection.
    bool isClosedByPeer();
    void close();

private:
    bool fill(steady::time_point until);
    std::optional<std::string> readBody(const message& head, steady::time_point until);
    std::optional<std::string> readChunks(steady::time_point until);

    int m_descriptor;
    std::string m_received;
};

/// Accepts connections on a loopback address, each served by a thread of its own.
class listener {
public:
    /// address: IP:PORT; port 0 selects a free one.
    listener(const std::string& address, std::function<void(connection&)> serve);
    /// Stops listening and closes all connections, like a process that ends.
    ~listener();
    const std::string& address() const { return m_address; }

private:
    void accept();

    int m_descriptor = -1;
    std::string m_address;
    std::function<void(connection&)> m_serve;
    std::atomic<bool> m_isStopping = false;
    std::mutex m_mutex;
    std::set<int> m_descriptors;
    std::thread m_thread;
};

/// The platform's store: keyed topics with one partition each.
class store {
public:
    store();
    ~store();
    const std::string& address() const { return m_listener->address(); }
    /// Without a value, the key is dropped.
    void put(const std::string& topic, const std::string& key, const std::optional<std::string>& value);

    struct entry {
        std::string key;
        std::optional<std::string> value;
    };
    using contents = std::map<std::string, std::vector<entry>>;
    contents copy();
    /// Comes back from an older copy: what was written since is lost, and the next history begins.
    void restore(const contents& older);
    /// While it is away, it closes each connection without an answer.
    void setAway(bool isAway) { m_isAway = isAway; }
    /// All open connections fall silent for good: nothing more arrives on them, and they stay open. New ones work.
    void silenceConnections() { ++m_silences; }
    /// Of the next appends, this many are executed without an answer.
    void loseAppendAnswers(unsigned count) { m_lostAnswers = count; }
    /// Newest value of a key; nullopt without one.
    std::optional<std::string> value(const std::string& topic, const std::string& key);
    /// Number of calls that it has answered.
    std::size_t calls() const { return m_calls; }

private:
    void serve(connection& caller);
    std::string answer(const message& request);
    std::string newest(const std::string& topic);
    std::string read(const std::string& topic, std::size_t from, milliseconds wait);
    /// at: offset at which the partition must end; empty for any.
    std::string append(const std::string& topic, const std::string& records, const std::string& at);

    std::mutex m_mutex;
    bool m_isStopping = false;
    std::condition_variable m_appended;
    contents m_topics;
    std::atomic<unsigned> m_history = 1;
    std::atomic<bool> m_isAway = false;
    std::atomic<unsigned> m_silences = 0;
    std::atomic<unsigned> m_lostAnswers = 0;
    std::atomic<std::size_t> m_calls = 0;
    std::unique_ptr<listener> m_listener;
};

/// One run of a request at a replica.
struct run {
    std::string replica;
    std::string attempt {};
    std::string tenant;
    long tokens = 0;
    steady::time_point began;
    std::optional<steady::time_point> ended;
    bool isComplete = false;
};

/// What a replica does with a request that it runs; returns whether the answer was complete.
using work = std::function<bool(connection& caller, const message& request, const std::string& headers)>;

/// A sound replica that registers itself in the store. It rejects requests for another replica and those beyond its slots and its queue.
class replica {
public:
    replica(store& registry, std::string id, std::string service, std::string zone, unsigned slots, work todo, std::string version = "v1");
    ~replica();
    /// Ends like a process that crashes, and starts again under the same id and address after this time. Returns at once.
    void crash(milliseconds downTime);
    const std::string& id() const { return m_id; }
    unsigned crashes() const { return m_crashes; }
    std::vector<run> runs();
    unsigned active() const { return m_active; }
    unsigned rejected() const { return m_rejected; }

private:
    void start(const std::string& address);
    void serve(connection& caller);

    store& m_registry;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    unsigned m_slots;
    std::string m_version;
    work m_work;
    std::mutex m_mutex;
    std::vector<run> m_runs;
    std::atomic<unsigned> m_active = 0;
    std::atomic<unsigned> m_rejected = 0;
    std::atomic<unsigned> m_crashes = 0;
    std::atomic<bool> m_isDown = false;
    std::thread m_restart;
    std::unique_ptr<listener> m_listener;
};

/// Answers with a body of this size after this time, unless the caller leaves before.
work answerAfter(milliseconds time, std::size_t bytes = 800);
/// One event of a stream, and the chunk that carries it.
std::string eventOf(unsigned id);
std::string chunkOf(const std::string& bytes);
/// Streams this number of events, one each interval, in chunks; goes on after Last-Event-Id.
work streamEvents(unsigned events, milliseconds interval);

/// A client's request.
struct request {
    std::string path {};
    std::string attempt {};
    std::string method = "POST";
    std::string key {};
    std::string tokenCounts {};
    milliseconds deadline = milliseconds(1500);
    std::string body = "{}";
    std::string promptParts {};
};

/// Its answer as the client saw it; status 0 without a response head.
struct answer {
    unsigned status = 0;
    bool isComplete = false;
    bool isSigned = false;
    std::string body;

    bool isServed() const { return status == 200 && isComplete && isSigned; }
};

std::string encode(const request& sent, const std::string& host);
/// Sends the request on a new connection and reads the answer until the deadline.
answer ask(const std::string& address, const request& sent);

/// Settings of the fleet of daemons, like those of a small deployment.
struct fleet_settings {
    unsigned machines = 4;
    unsigned memoryMb = 165;
    double cpuShare = 0.38;
    /// Orders of roll-outs are in force.
    bool rollouts = false;
};

/// The machines of a deployment, each with one process of the deploy file's role, on a loopback address of its own.
class fleet {
public:
    fleet(const store& platform, const fleet_settings& settings);
    ~fleet();
    void start(std::size_t machine);
    void startAll();
    void signal(std::size_t machine, int number);
    /// Kills the process, as the platform does with one that exceeds its memory.
    void kill(std::size_t machine);
    bool isRunning(std::size_t machine);
    /// How the process ended that was found not to run.
    const std::string& lastEnd(std::size_t machine) const { return m_machines[machine].lastEnd; }
    bool isReady(std::size_t machine);
    void waitUntilReady(milliseconds limit = milliseconds(20000));
    /// Memory of the process in MB; 0 if it does not run.
    long memoryMb(std::size_t machine);
    std::size_t size() const { return m_machines.size(); }
    const std::string& frontend(std::size_t machine) const { return m_machines[machine].frontend; }
    std::string name(std::size_t machine) const { return "edge-" + std::to_string(machine + 1); }

private:
    struct vm {
        std::string ip;
        std::string frontend;
        std::string readiness;
        pid_t process = 0;
        std::string lastEnd;
    };
    std::string settingsOf(std::size_t machine) const;

    std::string m_storeAddress;
    fleet_settings m_settings;
    std::vector<vm> m_machines;
    std::vector<int> m_ports;
    std::string m_folder;
    bool m_isFirstStart = true;
};

/// Host of the routes of all cases.
inline const std::string host = "carawaylink.example";

/// Whether the disruption takes place: TROUBLE is not 0.
bool hasTrouble();
/// Runs the case and returns the exit status of the program.
int runCase(const std::function<verdict()>& body);

} // namespace review
