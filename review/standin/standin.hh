// Stand-ins for the review's scripts: the platform's store, backend servers and callers, as the
// users' pages describe them, and a helper that starts pimento-tier as the deploy file does.
// Plain POSIX sockets and threads; every address is a loopback address.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Ms = std::chrono::milliseconds;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitCouldNotRun = 2;

inline void sleepFor(int milliseconds)
{
    std::this_thread::sleep_for(Ms(milliseconds));
}

inline double secondsBetween(Time a, Time b)
{
    return std::chrono::duration<double>(b - a).count();
}

/// The file record.txt, and the time since the start of the run.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
    { }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%9.3f  ", secondsBetween(m_start, Clock::now()));
        m_file << time << text << '\n' << std::flush;
    }
    double now() const { return secondsBetween(m_start, Clock::now()); }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Time m_start = Clock::now();
};

struct Message
{
    /// Request line or status line.
    std::string first;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return "";
    }
    bool has(const std::string &name) const
    {
        return std::any_of(headers.begin(), headers.end(), [&](const auto &entry) {
            return strcasecmp(entry.first.c_str(), name.c_str()) == 0;
        });
    }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const std::size_t start = first.find(' ');
        if (start == std::string::npos) {
            return "";
        }
        return first.substr(start + 1, first.find(' ', start + 1) - start - 1);
    }
    int status() const { return first.size() >= 12 ? std::atoi(first.c_str() + 9) : 0; }
};

/// A connected socket that reads and writes HTTP/1.1 messages, and blocks.
class Stream
{
public:
    explicit Stream(int socket)
        : m_socket(socket)
    {
        const int on = 1;
        setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~Stream() { ::close(m_socket); }
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;

    int socket() const { return m_socket; }
    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count
                = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }
    /// Reads more bytes into the buffer; false at the end of the connection or after `until`.
    bool fill(Time until = Time::max())
    {
        if (!waitReadable(until)) {
            return false;
        }
        char bytes[16384];
        const ssize_t count = recv(m_socket, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            m_isClosed = true;
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    bool waitReadable(Time until)
    {
        int wait = -1;
        if (until != Time::max()) {
            wait = static_cast<int>(std::max<std::int64_t>(
                0, std::chrono::duration_cast<Ms>(until - Clock::now()).count()));
        }
        pollfd entry {m_socket, POLLIN, 0};
        return poll(&entry, 1, wait) > 0;
    }
    /// True once the peer has closed or reset the connection.
    bool isPeerGone()
    {
        char byte = 0;
        const ssize_t count = recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    bool isClosed() const { return m_isClosed; }
    /// Bytes that were received and belong to no message so far.
    const std::string &rest() const { return m_buffer; }

    /// Reads a head: the lines up to an empty line. Lines end with LF or CRLF.
    bool readHead(Message &message, Time until = Time::max())
    {
        message = {};
        std::string line;
        do {
            if (!readLine(line, until)) {
                return false;
            }
        } while (line.empty());
        message.first = line;
        while (readLine(line, until)) {
            if (line.empty()) {
                return true;
            }
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos) {
                return false;
            }
            std::size_t start = colon + 1;
            while (start < line.size() && (line[start] == ' ' || line[start] == '\t')) {
                ++start;
            }
            message.headers.emplace_back(line.substr(0, colon), line.substr(start));
        }
        return false;
    }
    /// Reads a body of a known length or in chunks.
    bool readBody(Message &message, Time until = Time::max())
    {
        if (strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0) {
            return readChunks(message, until);
        }
        const std::size_t length
            = static_cast<std::size_t>(std::atoll(message.header("Content-Length").c_str()));
        return take(length, message.body, until);
    }
    bool readMessage(Message &message, Time until = Time::max())
    {
        return readHead(message, until) && readBody(message, until);
    }

private:
    bool readLine(std::string &line, Time until)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find('\n')) == std::string::npos) {
            if (!fill(until)) {
                return false;
            }
        }
        line = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 1);
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        return true;
    }
    bool take(std::size_t length, std::string &body, Time until)
    {
        while (m_buffer.size() < length) {
            if (!fill(until)) {
                return false;
            }
        }
        body.append(m_buffer, 0, length);
        m_buffer.erase(0, length);
        return true;
    }
    bool readChunks(Message &message, Time until)
    {
        std::string line;
        for (;;) {
            if (!readLine(line, until)) {
                return false;
            }
            const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
            if (size == 0) {
                break;
            }
            if (!take(size, message.body, until) || !readLine(line, until)) {
                return false;
            }
        }
        do {
            if (!readLine(line, until)) {
                return false;
            }
        } while (!line.empty());
        return true;
    }

    int m_socket;
    bool m_isClosed = false;
    std::string m_buffer;
};

struct Address
{
    std::string host;
    int port = 0;
    std::string text() const { return host + ":" + std::to_string(port); }
};

inline sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

/// A listener with one thread for each connection.
class Server
{
public:
    using Handler = std::function<void(Stream &)>;

    Server(const std::string &host, Handler handler)
        : m_handler(std::move(handler))
    {
        m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in local = socketAddress({host, 0});
        constexpr int backlog = 1024;
        if (bind(m_socket, reinterpret_cast<sockaddr *>(&local), sizeof(local)) != 0
            || ::listen(m_socket, backlog) != 0) {
            std::fprintf(stderr, "cannot listen on %s\n", host.c_str());
            std::_Exit(exitCouldNotRun);
        }
        socklen_t size = sizeof(local);
        getsockname(m_socket, reinterpret_cast<sockaddr *>(&local), &size);
        m_address = {host, ntohs(local.sin_port)};
        std::thread([this] { run(); }).detach();
    }
    const Address &address() const { return m_address; }

private:
    void run()
    {
        for (;;) {
            const int socket = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                continue;
            }
            std::thread([this, socket] {
                Stream stream(socket);
                m_handler(stream);
            }).detach();
        }
    }

    Handler m_handler;
    int m_socket = -1;
    Address m_address;
};

inline int connectTo(const Address &address, const std::function<void(int)> &prepare = nullptr)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (prepare) {
        prepare(socket);
    }
    const sockaddr_in remote = socketAddress(address);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&remote), sizeof(remote)) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

inline std::string toBase64(const std::string &bytes)
{
    static const char alphabet[]
        = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        unsigned group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t index = 0; index < 3; ++index) {
            group = group << 8
                | (index < count ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            text += index <= count ? alphabet[(group >> (18 - 6 * index)) & 63] : '=';
        }
    }
    return text;
}

inline std::string unescape(const std::string &text)
{
    std::string result;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            result += static_cast<char>(std::strtoul(text.substr(at + 1, 2).c_str(), nullptr, 16));
            at += 2;
        } else {
            result += text[at];
        }
    }
    return result;
}

inline std::string parameter(const std::string &target, const std::string &name)
{
    const std::size_t question = target.find('?');
    std::stringstream query(question == std::string::npos ? "" : target.substr(question + 1));
    std::string pair;
    while (std::getline(query, pair, '&')) {
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name && equals != std::string::npos) {
            return unescape(pair.substr(equals + 1));
        }
    }
    return "";
}

/// The platform's store: ranges, watches, transactions and leases.
class Store
{
public:
    /// In a key, stands for half of a UTF-16 surrogate pair. The store writes it to JSON as the
    /// escape "\ud83d", which the grammar of JSON allows.
    static constexpr const char *halfPair = "{U+D83D}";

    explicit Store(const std::string &host)
        : m_server(host, [this](Stream &stream) { serve(stream); })
    {
        std::thread([this] { expireLeases(); }).detach();
    }
    const Address &address() const { return m_server.address(); }

    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        write(key, toBase64(value), 0);
        m_changed.notify_all();
    }
    void remove(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        erase(key);
        m_changed.notify_all();
    }
    /// While silent, calls are neither carried out nor answered, and leases pause.
    void changeSilent(bool isSilent)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isSilent && !isSilent) {
            const auto pause = Clock::now() - m_silentSince;
            for (auto &[id, lease] : m_leases) {
                lease.endsAt += pause;
            }
        }
        m_isSilent = isSilent;
        m_silentSince = Clock::now();
        m_changed.notify_all();
    }
    std::size_t count(const std::string &prefix)
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<std::size_t>(
            std::count_if(m_items.begin(), m_items.end(), [&](const auto &entry) {
                return entry.first.compare(0, prefix.size(), prefix) == 0;
            }));
    }

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Lease
    {
        Ms timeToLive {};
        Time endsAt {};
    };
    struct Event
    {
        std::string key;
        std::uint64_t revision = 0;
        bool isDeleted = false;
        Item item;
    };

    void write(const std::string &key, const std::string &value, std::uint64_t lease)
    {
        Item &item = m_items[key];
        item.value = value;
        item.revision = ++m_revision;
        item.created = item.created == 0 ? m_revision : item.created;
        item.lease = lease;
        m_history.push_back({key, m_revision, false, item});
    }
    void erase(const std::string &key)
    {
        if (m_items.erase(key) > 0) {
            m_history.push_back({key, ++m_revision, true, {}});
        }
    }
    static Json json(const std::string &key, const Item &item)
    {
        return {{"key", key},
                {"value", item.value},
                {"revision", item.revision},
                {"createdRev", item.created},
                {"lease", item.lease}};
    }
    void endLease(std::uint64_t id)
    {
        m_leases.erase(id);
        std::vector<std::string> keys;
        for (const auto &[key, item] : m_items) {
            if (item.lease == id) {
                keys.push_back(key);
            }
        }
        for (const std::string &key : keys) {
            erase(key);
        }
        m_changed.notify_all();
    }
    void expireLeases()
    {
        for (;;) {
            sleepFor(50);
            const std::lock_guard lock(m_mutex);
            if (m_isSilent) {
                continue;
            }
            std::vector<std::uint64_t> ended;
            for (const auto &[id, lease] : m_leases) {
                if (lease.endsAt <= Clock::now()) {
                    ended.push_back(id);
                }
            }
            for (const std::uint64_t id : ended) {
                endLease(id);
            }
        }
    }
    static void answer(Stream &stream, int status, const Json &body)
    {
        std::string text = body.dump();
        for (std::size_t at = 0; (at = text.find(halfPair, at)) != std::string::npos;) {
            text.replace(at, std::strlen(halfPair), "\\ud83d");
        }
        stream.send("HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\n"
                    + "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
    }
    void serve(Stream &stream)
    {
        Message request;
        while (stream.readMessage(request)) {
            std::unique_lock lock(m_mutex);
            if (m_isSilent) {
                // A connection on which an answer is lost returns nothing further.
                lock.unlock();
                while (stream.fill()) { }
                return;
            }
            const std::string target = request.target();
            const std::string path = target.substr(0, target.find('?'));
            if (path == "/-/kv-range") {
                const Json body = range(target);
                lock.unlock();
                answer(stream, 200, body);
            } else if (path == "/-/kv-key") {
                const auto found = m_items.find(parameter(target, "key"));
                const bool isFound = found != m_items.end();
                const Json body = isFound ? json(found->first, found->second) : Json::object();
                lock.unlock();
                answer(stream, isFound ? 200 : 404, body);
            } else if (path == "/-/kv-watch") {
                if (!watch(stream, target, lock)) {
                    return;
                }
            } else if (path == "/-/kv-txn") {
                int status = 200;
                const Json body = transact(request.body, status);
                m_changed.notify_all();
                lock.unlock();
                answer(stream, status, body);
            } else if (path == "/-/kv-lease") {
                const Json asked = Json::parse(request.body);
                const std::uint64_t id = ++m_lastLease;
                const Ms timeToLive(asked["ttlMs"].get<std::int64_t>());
                m_leases[id] = {timeToLive, Clock::now() + timeToLive};
                lock.unlock();
                answer(stream, 200, {{"lease", id}, {"ttlMs", timeToLive.count()}});
            } else {
                const std::uint64_t id = std::strtoull(
                    path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
                const auto found = m_leases.find(id);
                const bool isFound = found != m_leases.end();
                if (isFound && request.method() == "DELETE") {
                    endLease(id);
                } else if (isFound) {
                    found->second.endsAt = Clock::now() + found->second.timeToLive;
                }
                lock.unlock();
                answer(stream, isFound ? 200 : 404, Json::object());
            }
        }
    }
    Json range(const std::string &target)
    {
        constexpr std::size_t maxItems = 500;
        const std::string prefix = parameter(target, "pathPrefix");
        const std::string after = parameter(target, "after");
        Json items = Json::array();
        bool hasMore = false;
        for (auto it = after.empty() ? m_items.begin() : m_items.upper_bound(after);
             it != m_items.end(); ++it) {
            if (it->first.compare(0, prefix.size(), prefix) != 0) {
                continue;
            }
            if (items.size() == maxItems) {
                hasMore = true;
                break;
            }
            items.push_back(json(it->first, it->second));
        }
        return {{"items", items}, {"hasMore", hasMore}, {"storeRevision", m_revision}};
    }
    bool watch(Stream &stream, const std::string &target, std::unique_lock<std::mutex> &lock)
    {
        const std::string prefix = parameter(target, "pathPrefix");
        const std::uint64_t after
            = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
        const Time until
            = Clock::now() + Ms(std::strtoll(parameter(target, "waitMs").c_str(), nullptr, 10));
        Json events = Json::array();
        for (;;) {
            if (m_isSilent) {
                lock.unlock();
                while (stream.fill()) { }
                return false;
            }
            for (const Event &event : m_history) {
                if (event.revision > after && event.key.compare(0, prefix.size(), prefix) == 0) {
                    events.push_back(event.isDeleted ? Json {{"key", event.key},
                                                             {"revision", event.revision},
                                                             {"deleted", true}}
                                                     : json(event.key, event.item));
                }
            }
            if (!events.empty() || Clock::now() >= until) {
                break;
            }
            m_changed.wait_until(lock, until);
        }
        const Json body = {{"events", events}, {"storeRevision", m_revision}};
        lock.unlock();
        answer(stream, 200, body);
        return true;
    }
    Json transact(const std::string &text, int &status)
    {
        const Json call = Json::parse(text);
        Json current = Json::array();
        bool holds = true;
        for (const Json &row : call.value("precondition", Json::array())) {
            const auto found = m_items.find(row["key"].get<std::string>());
            const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
            holds = holds && revision == row["revision"].get<std::uint64_t>();
            if (found != m_items.end()) {
                current.push_back(json(found->first, found->second));
            }
        }
        if (!holds) {
            status = 412;
            return {{"items", current}};
        }
        for (const Json &row : call.value("writes", Json::array())) {
            const std::uint64_t lease = row.value("lease", std::uint64_t {0});
            if (lease != 0 && m_leases.count(lease) == 0) {
                status = 404;
                return Json::object();
            }
        }
        for (const Json &row : call.value("writes", Json::array())) {
            write(row["key"], row["value"], row.value("lease", std::uint64_t {0}));
        }
        for (const Json &key : call.value("remove", Json::array())) {
            erase(key);
        }
        return {{"revision", m_revision}};
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::map<std::uint64_t, Lease> m_leases;
    std::deque<Event> m_history;
    std::uint64_t m_revision = 1;
    std::uint64_t m_lastLease = 0;
    bool m_isSilent = false;
    Time m_silentSince = Clock::now();
    Server m_server;
};

/// The JSON text of a backend server's entry in the store.
inline std::string backendEntry(const std::string &service, const Address &address,
                                const std::string &zone, int slots, std::int64_t born,
                                std::int64_t coldLeftMs = 0, const std::string &state = "ready",
                                int sequence = 1)
{
    return Json {{"service", service}, {"address", address.text()}, {"zone", zone},
                 {"version", "v1"},    {"maxConcurrency", slots},   {"state", state},
                 {"coldLeftMs", coldLeftMs}, {"sequence", sequence}, {"born", born}}
        .dump();
}

inline std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// The processes that were started and have not ended.
inline std::set<pid_t> &livePids()
{
    static std::set<pid_t> pids;
    return pids;
}

/// Ends all started processes and then this one, whose stand-ins still run in their threads.
[[noreturn]] inline void leave(int exitCode)
{
    for (const pid_t pid : livePids()) {
        ::kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    std::fflush(nullptr);
    std::_Exit(exitCode);
}

/// A process of the tier, started with the command of the deploy file.
class Tier
{
public:
    /// `host` is a loopback address of the process's own; all its ports are free ones there.
    Tier(const std::string &name, const std::string &zone, const std::string &host,
         const Address &store, const std::string &folder)
        : m_folder(folder + "/" + name)
    {
        mkdir(m_folder.c_str(), 0700);
        int ports[4];
        freePorts(host, ports);
        m_callers = {host, ports[0]};
        m_ready = {host, ports[1]};
        std::ofstream settings(m_folder + "/local.toml");
        settings << "nodeName = \"" << name << "\"\nrole = \"tier\"\nmachineClass = \"frontend\"\n"
                 << "serves = [\"frontend\"]\nip = \"" << host << "\"\nzone = \"" << zone
                 << "\"\nregion = \"kr-south\"\ninternalPorts = [" << ports[2] << ", " << ports[3]
                 << "]\nseeds = []\nbootstrap = true\nheartbeatMs = 1200\n"
                 << "[zones]\nkr-south-a = \"kr-south\"\nkr-south-b = \"kr-south\"\n"
                 << "[listen]\nfrontend = \"" << m_callers.text() << "\"\nready = \""
                 << m_ready.text() << "\"\n"
                 << "[limits]\ncpuShare = 0.25\ncpuCores = 1\nmemoryMb = 260\nmaxFds = 4100\n"
                 << "linkMbps = 1000.0\n"
                 << "[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 4000\nackMs = 5000\n"
                 << "syncS = 4\ndrainMs = 3000\ngraceS = 6\nlossSlackMs = 200\n"
                 << "configApplyMs = 3000\ndowngradeMs = 250\nmaxSkewMs = 12000\n"
                 << "retryRatio = 0.2\nretryWindowS = 10\nretrySlack = 54\ncoldOver = 1.5\n"
                 << "coldSlack = 5\nevacuateMs = 5000\nrecoverS = 12\n"
                 << "[platform]\naddress = \"" << store.text() << "\"\nform = \"kv\"\n"
                 << "writesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\n"
                 << "ttlMinMs = 1000\n";
        settings.close();
        start();
    }
    ~Tier() { stop(); }
    Tier(const Tier &) = delete;
    Tier &operator=(const Tier &) = delete;

    const Address &callers() const { return m_callers; }
    const Address &ready() const { return m_ready; }
    /// Starts the process again, with the same settings.
    void restart()
    {
        stop();
        start();
    }
    void signal(int number) const { ::kill(m_pid, number); }
    bool hasEnded()
    {
        if (m_pid > 0 && waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
            livePids().erase(m_pid);
            m_pid = -1;
        }
        return m_pid <= 0;
    }
    /// Waits until the process answers its readiness check with 200.
    bool waitReady()
    {
        for (int attempt = 0; attempt < 150; ++attempt) {
            if (isReady()) {
                return true;
            }
            sleepFor(100);
        }
        return false;
    }
    /// Asks the process once whether it is ready.
    bool isReady() const
    {
        const int socket = connectTo(m_ready);
        if (socket < 0) {
            return false;
        }
        Stream stream(socket);
        Message reply;
        return stream.send("GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            && stream.readHead(reply, Clock::now() + Ms(500)) && reply.status() == 200;
    }
    void stop()
    {
        if (!hasEnded()) {
            ::kill(m_pid, SIGKILL);
            waitpid(m_pid, &m_status, 0);
            livePids().erase(m_pid);
            m_pid = -1;
        }
    }

private:
    void start()
    {
        const char *program = std::getenv("TIER_PROGRAM");
        const std::string settings = "PIMENTOWARD_SETTINGS=" + m_folder + "/local.toml";
        const std::string log = m_folder + "/log.txt";
        m_pid = fork();
        if (m_pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(output, 1);
            dup2(output, 2);
            const char *path = program != nullptr ? program : "target/pimento-tier";
            char *arguments[] = {const_cast<char *>(path), nullptr};
            char *environment[] = {const_cast<char *>(settings.c_str()), nullptr};
            execve(path, arguments, environment);
            _exit(127);
        }
        livePids().insert(m_pid);
    }
    static void freePorts(const std::string &host, int (&ports)[4])
    {
        int sockets[4];
        for (int index = 0; index < 4; ++index) {
            sockets[index] = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            sockaddr_in local = socketAddress({host, 0});
            bind(sockets[index], reinterpret_cast<sockaddr *>(&local), sizeof(local));
            socklen_t size = sizeof(local);
            getsockname(sockets[index], reinterpret_cast<sockaddr *>(&local), &size);
            ports[index] = ntohs(local.sin_port);
        }
        for (const int socket : sockets) {
            ::close(socket);
        }
    }

    std::string m_folder;
    Address m_callers;
    Address m_ready;
    pid_t m_pid = -1;
    int m_status = 0;
};

/// A request id of 16 hexadecimal digits, unlike any other of this run.
inline std::string newRequestId()
{
    static std::atomic<std::uint64_t> last {static_cast<std::uint64_t>(unixMilliseconds()) << 20};
    char text[32];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(++last));
    return text;
}

inline std::string runHost(int number)
{
    // Each run uses loopback addresses of its own, so that scripts can run beside each other.
    const int pid = static_cast<int>(getpid());
    return "127." + std::to_string(64 + pid % 64) + "." + std::to_string((pid / 64) % 250 + 1) + "."
        + std::to_string(number);
}

inline bool isTroubled()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace standin
