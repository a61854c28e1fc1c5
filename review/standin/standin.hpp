// Stand-ins for the review: a store, backend servers, consumers, and the gateway processes that
// they surround. Everything listens on loopback addresses with ports that the system chooses.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using clock_type = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;
using nlohmann::json;

inline void sleepFor(int milliseconds)
{
    std::this_thread::sleep_for(ms(milliseconds));
}

/// Lines of record.txt, each with the time since the start in milliseconds.
class record
{
public:
    explicit record(const std::string &path)
        : m_out(path)
        , m_start(clock_type::now())
    {
    }

    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        const auto at = std::chrono::duration_cast<ms>(clock_type::now() - m_start).count();
        m_out << at << " " << text << "\n" << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    clock_type::time_point m_start;
};

/// A message of HTTP/1.1 with a body of stated length.
struct message
{
    std::string first; ///< Request line or status line.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const char *name) const
    {
        for (const auto &[key, value] : headers) {
            if (strcasecmp(key.c_str(), name) == 0)
                return value;
        }
        return "";
    }
    bool has(const char *name) const
    {
        for (const auto &[key, value] : headers) {
            if (strcasecmp(key.c_str(), name) == 0)
                return true;
        }
        return false;
    }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const auto from = first.find(' ') + 1;
        return first.substr(from, first.find(' ', from) - from);
    }
    int status() const { return std::atoi(first.c_str() + first.find(' ') + 1); }
};

class socket_stream
{
public:
    explicit socket_stream(int fd = -1)
        : m_fd(fd)
    {
        const int on = 1;
        if (fd >= 0)
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    socket_stream(const socket_stream &) = delete;
    socket_stream &operator=(const socket_stream &) = delete;
    ~socket_stream() { closeNow(); }

    bool isOpen() const { return m_fd >= 0; }
    int fd() const { return m_fd; }

    void closeNow()
    {
        if (m_fd >= 0)
            close(m_fd);
        m_fd = -1;
    }

    /// Closes with a reset.
    void reset()
    {
        const linger hard{1, 0};
        if (m_fd >= 0)
            setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        closeNow();
    }

    bool connectTo(int port)
    {
        closeNow();
        m_buffer.clear();
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<uint16_t>(port));
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const int on = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        if (connect(m_fd, reinterpret_cast<sockaddr *>(&to), sizeof to) == 0)
            return true;
        closeNow();
        return false;
    }

    bool write(const std::string &text)
    {
        std::size_t at = 0;
        while (at < text.size()) {
            const ssize_t n = send(m_fd, text.data() + at, text.size() - at, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            at += static_cast<std::size_t>(n);
        }
        return true;
    }

    /// Waits for bytes or the end of the stream; returns false if there are none in time.
    bool waitReadable(int milliseconds)
    {
        if (!m_buffer.empty())
            return true;
        pollfd p{m_fd, POLLIN, 0};
        return poll(&p, 1, milliseconds) > 0;
    }

    /// Reads one message; nothing if the stream ends or \p milliseconds pass first.
    std::optional<message> read(int milliseconds)
    {
        const auto end = clock_type::now() + ms(milliseconds);
        for (;;) {
            if (auto m = take())
                return m;
            const auto left = std::chrono::duration_cast<ms>(end - clock_type::now()).count();
            pollfd p{m_fd, POLLIN, 0};
            if (left <= 0 || poll(&p, 1, static_cast<int>(left)) <= 0)
                return std::nullopt;
            char bytes[16384];
            const ssize_t n = recv(m_fd, bytes, sizeof bytes, 0);
            if (n <= 0)
                return std::nullopt;
            m_buffer.append(bytes, static_cast<std::size_t>(n));
        }
    }

private:
    std::optional<message> take()
    {
        const auto headEnd = m_buffer.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            return std::nullopt;
        message m;
        std::istringstream head(m_buffer.substr(0, headEnd));
        std::string text;
        while (std::getline(head, text)) {
            if (!text.empty() && text.back() == '\r')
                text.pop_back();
            if (m.first.empty()) {
                m.first = text;
                continue;
            }
            const auto colon = text.find(':');
            auto value = text.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            m.headers.emplace_back(text.substr(0, colon), value);
        }
        const std::size_t length =
                static_cast<std::size_t>(std::atol(m.header("Content-Length").c_str()));
        if (m_buffer.size() < headEnd + 4 + length)
            return std::nullopt;
        m.body = m_buffer.substr(headEnd + 4, length);
        m_buffer.erase(0, headEnd + 4 + length);
        return m;
    }

    int m_fd;
    std::string m_buffer;
};

inline std::string responseText(int status, const char *reason,
                                const std::vector<std::pair<std::string, std::string>> &headers,
                                const std::string &body)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
    for (const auto &[name, value] : headers)
        out += name + ": " + value + "\r\n";
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections on a loopback port, each with a thread of its own.
class listener
{
public:
    using handler = std::function<void(std::shared_ptr<socket_stream>)>;

    explicit listener(handler onConnection)
        : m_onConnection(std::move(onConnection))
    {
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (bind(m_fd, reinterpret_cast<sockaddr *>(&at), sizeof at) != 0 || listen(m_fd, 256) != 0)
            std::_Exit(2);
        socklen_t size = sizeof at;
        getsockname(m_fd, reinterpret_cast<sockaddr *>(&at), &size);
        m_port = ntohs(at.sin_port);
        std::thread([this] {
            for (;;) {
                const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                    continue;
                auto s = std::make_shared<socket_stream>(fd);
                std::thread([this, s] { m_onConnection(s); }).detach();
            }
        }).detach();
    }

    int port() const { return m_port; }

private:
    handler m_onConnection;
    int m_fd = -1;
    int m_port = 0;
};

/// The platform's store: objects by kind and name, lists, watches, conditional writes.
class store
{
public:
    store()
        : m_listener([this](std::shared_ptr<socket_stream> s) { serve(*s); })
    {
    }

    int port() const { return m_listener.port(); }

    void write(const std::string &kind, const std::string &name, const json &spec)
    {
        const std::lock_guard lock(m_mutex);
        writeLocked(kind, name, spec);
    }

    void erase(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        eraseLocked(kind, name);
    }

private:
    struct object
    {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        json spec;
    };
    struct event
    {
        std::uint64_t revision;
        std::string kind;
        json text;
    };

    static json toJson(const std::string &name, const object &o)
    {
        return {{"meta",
                 {{"name", name},
                  {"rev", o.revision},
                  {"created", o.created},
                  {"finalizers", json::array()},
                  {"deleting", false}}},
                {"spec", o.spec},
                {"status", nullptr}};
    }

    json writeLocked(const std::string &kind, const std::string &name, const json &spec)
    {
        object &o = m_objects[kind][name];
        o.revision = ++m_revision;
        if (o.created == 0)
            o.created = m_revision;
        o.spec = spec;
        m_events.push_back({m_revision, kind, {{"object", toJson(name, o)}, {"deleted", false}}});
        m_changed.notify_all();
        return toJson(name, o);
    }

    void eraseLocked(const std::string &kind, const std::string &name)
    {
        auto &all = m_objects[kind];
        const auto it = all.find(name);
        if (it == all.end())
            return;
        object o = it->second;
        all.erase(it);
        o.revision = ++m_revision;
        m_events.push_back({m_revision, kind, {{"object", toJson(name, o)}, {"deleted", true}}});
        m_changed.notify_all();
    }

    static std::string parameter(const std::string &target, const std::string &name)
    {
        const auto mark = target.find('?');
        const std::string query = mark == std::string::npos ? "" : "&" + target.substr(mark + 1);
        const auto at = query.find("&" + name + "=");
        if (at == std::string::npos)
            return "";
        const auto from = at + name.size() + 2;
        return query.substr(from, query.find('&', from) - from);
    }

    void serve(socket_stream &s)
    {
        while (const auto m = s.read(600000)) {
            const auto [status, body] = answer(*m);
            if (!s.write(responseText(status, "Status", {{"Content-Type", "application/json"}},
                                      body.dump())))
                return;
        }
    }

    std::pair<int, json> answer(const message &m)
    {
        const std::string target = m.target();
        const std::string path = target.substr(0, target.find('?'));
        const std::string prefix = "/objects/";
        if (path.compare(0, prefix.size(), prefix) != 0)
            return {404, json::object()};
        const std::string rest = path.substr(prefix.size());
        const auto slash = rest.find('/');
        const std::string kind = rest.substr(0, slash);
        const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
        std::unique_lock lock(m_mutex);
        if (m.method() == "GET")
            return read(kind, name, target, lock);
        if (m.method() == "DELETE") {
            const auto it = m_objects[kind].find(name);
            if (it == m_objects[kind].end())
                return {404, json::object()};
            const std::string rev = parameter(target, "rev");
            if (!rev.empty() && rev != std::to_string(it->second.revision))
                return {409, toJson(name, it->second)};
            eraseLocked(kind, name);
            return {200, json::object()};
        }
        const json in = json::parse(m.body, nullptr, false);
        if (in.is_discarded())
            return {400, json::object()};
        const std::string named = in["meta"]["name"];
        const auto it = m_objects[kind].find(named);
        const bool exists = it != m_objects[kind].end();
        if (m.method() == "POST" && exists)
            return {409, toJson(named, it->second)};
        if (m.method() == "PUT" && !exists)
            return {404, json::object()};
        if (m.method() == "PUT" && in["meta"].contains("rev") &&
            in["meta"]["rev"] != it->second.revision)
            return {409, toJson(named, it->second)};
        return {200, writeLocked(kind, named, in["spec"])};
    }

    std::pair<int, json> read(const std::string &kind, const std::string &name,
                              const std::string &target, std::unique_lock<std::mutex> &lock)
    {
        if (!name.empty()) {
            const auto it = m_objects[kind].find(name);
            if (it == m_objects[kind].end())
                return {404, json::object()};
            return {200, toJson(name, it->second)};
        }
        const std::string watch = parameter(target, "watch");
        if (watch.empty()) {
            json items = json::array();
            const std::string after = parameter(target, "after");
            for (const auto &[each, o] : m_objects[kind]) {
                if (each > after)
                    items.push_back(toJson(each, o));
            }
            return {200, {{"items", items}, {"hasMore", false}, {"storeRevision", m_revision}}};
        }
        const std::uint64_t since = std::stoull(watch);
        const std::string wait = parameter(target, "waitMs");
        const auto end = clock_type::now() + ms(wait.empty() ? 0 : std::stol(wait));
        for (;;) {
            json events = json::array();
            for (const event &e : m_events) {
                if (e.kind == kind && e.revision > since)
                    events.push_back(e.text);
            }
            if (!events.empty() || clock_type::now() >= end)
                return {200, {{"events", events}, {"storeRevision", m_revision}}};
            m_changed.wait_until(lock, end);
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 1;
    std::map<std::string, std::map<std::string, object>> m_objects;
    std::vector<event> m_events;
    listener m_listener;
};

/// What the consumers were told and what the servers ran, for the judgement at the end.
struct ledger
{
    std::mutex mutex;
    std::map<std::string, std::vector<std::string>>
            runs;                       ///< Servers that ran a request, by its id.
    std::map<std::string, int> answers; ///< Status by request id; 0 if none.

    void ran(const std::string &id, const std::string &server)
    {
        const std::lock_guard lock(mutex);
        runs[id].push_back(server);
    }
    void answered(const std::string &id, int status)
    {
        const std::lock_guard lock(mutex);
        answers[id] = status;
    }
};

/// Writes a settings file from the template as the platform does.
inline std::string fillTemplate(std::string text, const std::map<std::string, std::string> &values,
                                const std::map<std::string, std::string> &zones)
{
    const std::string open = "{{#zones}}";
    const std::string shut = "{{/zones}}";
    const auto from = text.find(open);
    const auto to = text.find(shut);
    if (from != std::string::npos && to != std::string::npos) {
        const std::string inner = text.substr(from + open.size(), to - from - open.size());
        std::string filled;
        for (const auto &[zone, region] : zones) {
            std::string each = inner;
            each.replace(each.find("{{@}}"), 5, zone);
            each.replace(each.find("{{.}}"), 5, region);
            filled += each;
        }
        text.replace(from, to + shut.size() - from, filled);
    }
    for (const auto &[name, value] : values) {
        const std::string mark = "{{" + name + "}}";
        for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark))
            text.replace(at, mark.size(), value);
    }
    return text;
}

/// Returns a free port below those that the system gives to outgoing connections, which could take
/// it before the gateway listens.
inline int freePort()
{
    static std::mt19937 random(std::random_device{}());
    static std::set<int> given;
    constexpr int first = 15000;
    constexpr int count = 15000;
    constexpr int tries = 1000;
    for (int i = 0; i < tries; ++i) {
        const int port = first + static_cast<int>(random() % count);
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(static_cast<uint16_t>(port));
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool isFree = bind(fd, reinterpret_cast<sockaddr *>(&at), sizeof at) == 0;
        close(fd);
        if (isFree && given.insert(port).second)
            return port;
    }
    std::_Exit(2);
}

/// A gateway process, started with the command of the deploy file.
class gateway
{
public:
    gateway(std::string name, std::string zone, const std::string &directory)
        : m_name(std::move(name))
        , m_zone(std::move(zone))
        , m_settings(directory + "/" + m_name + ".ini")
        , m_log(directory + "/" + m_name + ".log")
        , m_front(freePort())
        , m_ready(freePort())
        , m_control(freePort())
    {
    }

    std::string control() const { return "127.0.0.1:" + std::to_string(m_control); }

    /// \p seeds are the control addresses of at most three gateways.
    void writeSettings(int storePort, const std::string &seeds) const
    {
        std::ifstream in("deploy/gateway.ini");
        std::stringstream text;
        text << in.rdbuf();
        const std::string ip = "127.0.0.1:";
        const std::map<std::string, std::string> values{
                {"node", m_name},
                {"zone", m_zone},
                {"bootstrap", "true"},
                {"limits.linkMbps", "1000.0"},
                {"listen.front", ip + std::to_string(m_front)},
                {"listen.ready", ip + std::to_string(m_ready)},
                {"listen.control", ip + std::to_string(m_control)},
                {"ip", "127.0.0.1"},
                {"internalPortRange.0", std::to_string(freePort())},
                {"platform.addr", ip + std::to_string(storePort)},
                {"seeds", seeds},
                {"bounds.retryRatio", "0.2"},
                {"bounds.retrySlack", "58"},
                {"bounds.retryWindowS", "10"},
                {"bounds.configApplyMs", "3000"},
                {"bounds.drainMs", "3000"},
                {"bounds.graceS", "6"},
                {"contracts", "base,drain,config,cost,retry,recover,scatter,platform"}};
        std::ofstream(m_settings) << fillTemplate(
                text.str(), values,
                {{"zone-1", "region-1"}, {"zone-2", "region-2"}, {"zone-3", "region-3"}});
    }
    gateway(const gateway &) = delete;
    gateway &operator=(const gateway &) = delete;
    ~gateway()
    {
        if (m_pid > 0) {
            kill(m_pid, SIGKILL);
            waitpid(m_pid, nullptr, 0);
        }
    }

    int front() const { return m_front; }
    const std::string &logPath() const { return m_log; }

    void start()
    {
        m_pid = fork();
        if (m_pid != 0)
            return;
        // The gateway ends with this process, even if this process is killed.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        setenv("PERIDOTWHEEL_NODE_FILE", m_settings.c_str(), 1);
        if (freopen(m_log.c_str(), "a", stdout) == nullptr || dup2(1, 2) < 0)
            _exit(127);
        execl("target/bin/peridotwheel-gateway", "target/bin/peridotwheel-gateway", nullptr);
        _exit(127);
    }

    void signal(int number)
    {
        if (m_pid > 0)
            kill(m_pid, number);
    }

    /// Whether the process has ended; its exit status stays in `status`.
    bool hasEnded(int &status)
    {
        if (m_pid <= 0 || waitpid(m_pid, &status, WNOHANG) != m_pid)
            return false;
        m_pid = 0;
        return true;
    }

    bool isReady() const
    {
        socket_stream s;
        if (!s.connectTo(m_ready))
            return false;
        s.write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
        const auto reply = s.read(500);
        return reply && reply->status() == 200;
    }

    bool waitReady(int seconds) const
    {
        const auto end = clock_type::now() + std::chrono::seconds(seconds);
        while (clock_type::now() < end) {
            if (isReady())
                return true;
            sleepFor(100);
        }
        return false;
    }

private:
    std::string m_name;
    std::string m_zone;
    std::string m_settings;
    std::string m_log;
    int m_front;
    int m_ready;
    int m_control;
    pid_t m_pid = 0;
};

/// Starts \p count gateways in three zones and waits until all of them are ready; nothing if one
/// does not become ready.
inline std::vector<std::unique_ptr<gateway>> startGateways(int count, const std::string &folder,
                                                           int storePort)
{
    std::vector<std::unique_ptr<gateway>> all;
    std::string seeds;
    for (int i = 0; i < count; ++i) {
        all.push_back(std::make_unique<gateway>("front-" + std::to_string(i + 1),
                                                "zone-" + std::to_string(i % 3 + 1), folder));
        constexpr int maxSeeds = 3;
        if (i < maxSeeds)
            seeds += (i > 0 ? "," : "") + all.back()->control();
    }
    for (const auto &g : all) {
        g->writeSettings(storePort, seeds);
        g->start();
    }
    constexpr int startSeconds = 15;
    for (const auto &g : all) {
        if (!g->waitReady(startSeconds))
            return {};
    }
    return all;
}

inline std::string temporaryFolder()
{
    char path[] = "/tmp/review-XXXXXX";
    const char *made = mkdtemp(path);
    if (made == nullptr)
        std::_Exit(2);
    return made;
}

inline void removeFolder(const std::string &path)
{
    const pid_t pid = fork();
    if (pid == 0) {
        execlp("rm", "rm", "-rf", path.c_str(), nullptr);
        _exit(127);
    }
    waitpid(pid, nullptr, 0);
}

inline bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace review
