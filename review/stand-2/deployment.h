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
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

/// A small deployment on loopback addresses: the platform's store, replicas, machines that run the program under review, and clients.
namespace review_two {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const std::string host = "review.example";
inline const std::string apiKey = "key-of-team-one";
inline const std::string tenant = "team-one";

/// A head and a body of HTTP/1.1; startLine is empty if none came.
struct message {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(std::string_view name) const;
    /// Method or target of a request.
    std::string word(std::size_t index) const;
    /// Status of a response; 0 if none came.
    unsigned status() const;
    /// Value of a parameter of the query of a request.
    std::string query(std::string_view name) const;
};

/// A TCP connection; closed by the destructor.
class connection {
public:
    explicit connection(int socket);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    bool send(std::string_view bytes);
    /// Reads a message with a length, in chunks or without a body; startLine is empty if the peer closes before its end or the time is up.
    message receive(steady::time_point until);
    /// Whether the peer closes the connection within the time.
    bool isClosedWithin(milliseconds time);
    /// Ends both directions, also for a thread that reads.
    void shutDown();
    /// Closes with a reset, as a process that crashes with unread bytes does.
    void reset();

private:
    bool fill(steady::time_point until);
    bool receiveBody(message& received, steady::time_point until);
    bool takeBytes(std::size_t count, std::string& to, steady::time_point until);
    std::optional<std::string> takeLine(steady::time_point until);

    std::mutex m_mutex;
    int m_socket;
    std::string m_buffer;
};

/// nullptr if the address refuses connections.
std::unique_ptr<connection> connectTo(const std::string& address);

/// Accepts connections on a loopback address and serves each in a thread of its own.
class listener {
public:
    using handler = std::function<void(connection&)>;

    /// port 0: any free one.
    listener(handler serve, unsigned short port = 0);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    unsigned short port() const { return m_port; }
    std::string address() const;
    /// Closes the listening socket and resets all connections.
    void crash();

private:
    void accept();

    handler m_serve;
    int m_socket = -1;
    unsigned short m_port = 0;
    std::atomic<bool> m_isEnded = false;
    std::mutex m_mutex;
    std::vector<std::shared_ptr<connection>> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/// The part of the platform's log store that the program uses.
class store {
public:
    store();
    ~store();

    std::string address() const { return m_listener->address(); }
    /// Writes a record; without a value its key is dropped.
    void put(const std::string& topic, const std::string& key, const std::optional<std::string>& value);

private:
    struct partition {
        std::vector<std::string> records;
        std::map<std::string, std::pair<std::string, std::uint64_t>> newest;
    };

    void serve(connection& caller);
    std::string answer(const message& asked);
    std::string append(const message& asked);
    std::string read(const message& asked);
    std::string newest(const message& asked);
    static void add(partition& part, const std::string& content);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isEnded = false;
    std::map<std::string, partition> m_partitions;
    std::unique_ptr<listener> m_listener;
};

/// A replica that is registered in the store and writes there every 1,200 ms. It serves one request at a time on a connection.
class replica {
public:
    /// Answers the request; false ends the connection. own: the headers that each answer bears.
    using work = std::function<bool(replica&, connection&, const message&, const std::string& own)>;

    replica(store& registry, std::string id, std::string service, std::string zone, unsigned slots, work run);
    ~replica();

    const std::string& id() const { return m_id; }
    /// Ends all connections and the listening socket, and starts again under the same id and address after the time.
    void crash(milliseconds downTime);
    bool isDown() const { return m_isDown; }
    std::size_t crashes() const { return m_crashes; }

private:
    void serve(connection& caller);
    void keepRegistered();
    void registerNow();

    store& m_registry;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    unsigned m_slots;
    work m_run;
    unsigned short m_port = 0;
    std::atomic<bool> m_isDown = false;
    std::atomic<std::size_t> m_crashes = 0;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_isEnded = false;
    bool m_isCrashing = false;
    std::optional<steady::time_point> m_backAt;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_born = 0;
    std::unique_ptr<listener> m_listener;
    std::thread m_keeper;
};

struct route {
    std::string name;
    std::string prefix;
    std::string service;
    std::string kind;
    unsigned maxAttempts = 1;
    unsigned timeoutMs = 1000;
    unsigned targetMs = 100;
    bool isResumable = false;
};

/// The operator's configuration with these routes, their services and one tenant without a quota.
std::string configuration(unsigned version, const std::vector<route>& routes);

/// Machines that run target/bin/carawaylinkd, started in the folder of the repository.
class fleet {
public:
    fleet(const store& platform, std::size_t count);
    ~fleet();

    std::size_t size() const { return m_nodes.size(); }
    /// Starts all and waits until they are ready; false if they aren't within 20 s.
    bool start();
    const std::string& frontend(std::size_t index) const { return m_nodes[index].frontend; }
    const std::string& directory(std::size_t index) const { return m_nodes[index].directory; }
    bool isReady(std::size_t index) const;
    void startOne(std::size_t index, bool isFirst);
    void signal(std::size_t index, int number);
    /// Whether the process has ended; collects it if so.
    bool hasEnded(std::size_t index);

private:
    struct node {
        std::string name;
        std::string zone;
        std::string frontend;
        std::string readiness;
        std::string peer;
        std::string directory;
        unsigned short range = 0;
        pid_t process = 0;
    };
    std::string settings(const node& described, bool isFirst) const;

    std::string m_store;
    std::string m_folder;
    std::vector<node> m_nodes;
};

struct request {
    std::string method = "POST";
    std::string target;
    std::string attempt;
    milliseconds deadline { 1000 };
    std::string body;
    /// Whole lines.
    std::string headers;
};

/// Sends the request on a new connection and returns the answer; without a status if none came until a second after the deadline.
message ask(const std::string& address, const request& asked);
/// Bytes of the request.
std::string encode(const request& asked);

/// Appends lines to a file, each with the milliseconds since its start.
class record {
public:
    explicit record(const std::string& path);
    ~record();
    void line(const std::string& text);
    long long elapsedMs() const;

private:
    std::mutex m_mutex;
    std::FILE* m_file;
    steady::time_point m_start;
};

/// The same, with a line for the request and one for its answer.
message ask(record& notes, const std::string& address, const request& asked);

/// Whether the case is to run with its disruption.
bool hasTrouble();
std::string uniqueId();

} // namespace review_two
