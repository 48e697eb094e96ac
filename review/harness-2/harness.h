#ifndef COMFREYSTAND_REVIEW_HARNESS_2_HARNESS_H_
#define COMFREYSTAND_REVIEW_HARNESS_2_HARNESS_H_

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
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

// Stand-ins for the cases of the second review: the platform's store, backend
// servers and callers, each as plain blocking code with one thread a
// connection, and the gateway as a process. Everything is on 127.0.0.1.
namespace review {

using Clock = std::chrono::steady_clock;
using nlohmann::json;

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

// ---------------------------------------------------------------- record

// Lines of record.txt, with the seconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path), start_(Clock::now()) {}
  void Line(const char* format, ...) {
    char text[2'048];
    va_list args;
    va_start(args, format);
    std::vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ",
                  std::chrono::duration<double>(Clock::now() - start_).count());
    out_ << time << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  const Clock::time_point start_;
};

inline void Sleep(int milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

// Waits until `condition` holds. Returns false after `milliseconds`.
inline bool WaitFor(int milliseconds, const std::function<bool()>& condition) {
  const auto end = Clock::now() + std::chrono::milliseconds(milliseconds);
  while (!condition()) {
    if (Clock::now() >= end) {
      return false;
    }
    Sleep(5);
  }
  return true;
}

// --------------------------------------------------------------- sockets

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// `count` ports that are free for TCP and UDP when this returns.
inline std::vector<int> FreePorts(int count) {
  std::vector<int> ports;
  std::vector<int> open;
  while (static_cast<int>(ports.size()) < count) {
    const int tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = Loopback(0);
    socklen_t size = sizeof(address);
    bind(tcp, reinterpret_cast<sockaddr*>(&address), size);
    getsockname(tcp, reinterpret_cast<sockaddr*>(&address), &size);
    open.push_back(tcp);
    const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (bind(udp, reinterpret_cast<sockaddr*>(&address), size) == 0) {
      ports.push_back(ntohs(address.sin_port));
    }
    open.push_back(udp);
  }
  for (const int fd : open) {
    close(fd);
  }
  return ports;
}

inline std::string Address(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

inline int Connect(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

inline bool SendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

// Makes close() send a reset.
inline void ResetOnClose(int fd) {
  const linger option = {.l_onoff = 1, .l_linger = 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

// ------------------------------------------------------------------ HTTP

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), ::tolower);
  return text;
}

struct Message {
  // Request line or status line.
  std::string first;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  // The body arrived whole.
  bool complete = false;

  std::string Header(const std::string& name) const {
    const auto found = headers.find(Lower(name));
    return found == headers.end() ? "" : found->second;
  }
  int Status() const {
    return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
  }
  std::string Method() const { return first.substr(0, first.find(' ')); }
  std::string Target() const {
    const size_t at = first.find(' ') + 1;
    return first.substr(at, first.find(' ', at) - at);
  }
};

// Reads messages from a connection.
class Reader {
 public:
  enum class End { kNone, kClosed, kReset, kTimeout };

  explicit Reader(int fd) : fd_(fd) {}

  // Reads more bytes. Returns false at the end of the connection or after
  // `timeout_ms`, see end().
  bool Fill(int timeout_ms) {
    pollfd entry = {.fd = fd_, .events = POLLIN, .revents = 0};
    if (poll(&entry, 1, timeout_ms) <= 0) {
      end_ = End::kTimeout;
      return false;
    }
    char bytes[65'536];
    const ssize_t size = recv(fd_, bytes, sizeof(bytes), 0);
    if (size <= 0) {
      end_ = size == 0 ? End::kClosed : End::kReset;
      return false;
    }
    buffer_.append(bytes, static_cast<size_t>(size));
    return true;
  }

  // Reads a head. Returns false when the connection ends or stays silent
  // before it is complete.
  bool ReadHead(Message* message, int timeout_ms) {
    size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(timeout_ms)) {
        return false;
      }
    }
    std::istringstream lines(buffer_.substr(0, end + 2));
    buffer_.erase(0, end + 4);
    std::string line;
    std::getline(lines, message->first);
    while (!message->first.empty() && message->first.back() == '\r') {
      message->first.pop_back();
    }
    while (std::getline(lines, line)) {
      line.erase(line.find_last_not_of("\r") + 1);
      const size_t colon = line.find(':');
      if (colon != std::string::npos) {
        const size_t value = line.find_first_not_of(' ', colon + 1);
        message->headers[Lower(line.substr(0, colon))] =
            value == std::string::npos ? "" : line.substr(value);
      }
    }
    return true;
  }

  // Reads the body that the head declares. `until_close`: an answer without a
  // length ends with the connection.
  bool ReadBody(Message* message, int timeout_ms, bool until_close = false) {
    const std::string length = message->Header("content-length");
    if (Lower(message->Header("transfer-encoding")) == "chunked") {
      message->complete = ReadChunks(message, timeout_ms);
    } else if (!length.empty()) {
      message->complete = Take(std::stoul(length), &message->body, timeout_ms);
    } else if (until_close) {
      while (Fill(timeout_ms)) {
      }
      message->body = std::exchange(buffer_, {});
      message->complete = end_ == End::kClosed;
    } else {
      message->complete = true;
    }
    return message->complete;
  }

  bool Read(Message* message, int timeout_ms, bool until_close = false) {
    return ReadHead(message, timeout_ms) &&
           ReadBody(message, timeout_ms, until_close);
  }

  End end() const { return end_; }
  const char* EndName() const {
    static constexpr const char* kNames[] = {"open", "closed", "reset",
                                             "silent"};
    return kNames[static_cast<int>(end_)];
  }
  const std::string& rest() const { return buffer_; }

 private:
  bool Take(size_t size, std::string* to, int timeout_ms) {
    while (buffer_.size() < size) {
      if (!Fill(timeout_ms)) {
        to->append(std::exchange(buffer_, {}));
        return false;
      }
    }
    to->append(buffer_, 0, size);
    buffer_.erase(0, size);
    return true;
  }

  bool ReadChunks(Message* message, int timeout_ms) {
    while (true) {
      size_t line = 0;
      while ((line = buffer_.find("\r\n")) == std::string::npos) {
        if (!Fill(timeout_ms)) {
          return false;
        }
      }
      const size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
      buffer_.erase(0, line + 2);
      if (!Take(size, &message->body, timeout_ms)) {
        return false;
      }
      std::string end;
      if (!Take(2, &end, timeout_ms)) {
        return false;
      }
      if (size == 0) {
        return true;
      }
    }
  }

  const int fd_;
  std::string buffer_;
  End end_ = End::kNone;
};

// Listens on a free port; runs `serve` in a thread for each connection.
class Listener {
 public:
  explicit Listener(std::function<void(int fd)> serve)
      : serve_(std::move(serve)),
        fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address = Loopback(0);
    socklen_t size = sizeof(address);
    bind(fd_, reinterpret_cast<sockaddr*>(&address), size);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    listen(fd_, 512);
    std::thread([this] {
      while (true) {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          return;
        }
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread([this, fd] {
          serve_(fd);
          close(fd);
        }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }

 private:
  const std::function<void(int fd)> serve_;
  const int fd_;
  int port_ = 0;
};

// ----------------------------------------------------------------- store

inline std::string Base64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      const size_t at = i + j;
      group = group << 8 |
              (at < bytes.size() ? static_cast<unsigned char>(bytes[at]) : 0U);
    }
    for (size_t j = 0; j < 4; ++j) {
      text += i + j > bytes.size() ? '=' : kDigits[group >> (18 - 6 * j) & 63];
    }
  }
  return text;
}

// The platform's store, by PROTOCOL.md: linearizable, keeps all history.
class Store {
 public:
  Store() : listener_([this](int fd) { Serve(fd); }) {}

  int port() const { return listener_.port(); }

  // A write of the operator or of a backend server.
  void Put(const std::string& key, const json& value) {
    const std::lock_guard lock(mutex_);
    PutLocked(key, Base64(value.dump()), 0);
    changed_.notify_all();
  }
  void Delete(const std::string& key) {
    const std::lock_guard lock(mutex_);
    DeleteLocked(key);
    changed_.notify_all();
  }
  size_t Count(const std::string& prefix) {
    const std::lock_guard lock(mutex_);
    Expire();
    return static_cast<size_t>(std::count_if(
        items_.begin(), items_.end(),
        [&](const auto& item) { return item.first.starts_with(prefix); }));
  }

 private:
  struct Item {
    std::string value;
    int64_t revision = 0;
    int64_t created = 0;
    int64_t lease = 0;
  };
  struct Event {
    int64_t revision = 0;
    std::string key;
    json row;
  };
  struct Lease {
    int64_t ttl_ms = 0;
    Clock::time_point ends;
  };

  static json Row(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", item.value},
            {"revision", item.revision},
            {"createRevision", item.created},
            {"lease", item.lease}};
  }
  void PutLocked(const std::string& key,
                 const std::string& value,
                 int64_t lease) {
    ++revision_;
    Item& item = items_[key];
    item = {value, revision_, item.created == 0 ? revision_ : item.created,
            lease};
    events_.push_back({revision_, key, Row(key, item)});
  }
  void DeleteLocked(const std::string& key) {
    if (items_.erase(key) > 0) {
      ++revision_;
      events_.push_back(
          {revision_,
           key,
           {{"key", key}, {"revision", revision_}, {"deleted", true}}});
    }
  }
  void EndLease(int64_t id) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == id) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      DeleteLocked(key);
    }
  }
  void Expire() {
    std::vector<int64_t> ended;
    for (const auto& [id, lease] : leases_) {
      if (lease.ends <= Clock::now()) {
        ended.push_back(id);
      }
    }
    for (const int64_t id : ended) {
      EndLease(id);
    }
  }

  static std::string Decode(const std::string& text) {
    std::string plain;
    for (size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        plain +=
            static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        plain += text[i];
      }
    }
    return plain;
  }
  static std::map<std::string, std::string> Query(const std::string& target) {
    std::map<std::string, std::string> fields;
    const size_t begin = target.find('?');
    if (begin == std::string::npos) {
      return fields;
    }
    std::istringstream parts(target.substr(begin + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
      const size_t equals = part.find('=');
      fields[part.substr(0, equals)] =
          equals == std::string::npos ? "" : Decode(part.substr(equals + 1));
    }
    return fields;
  }

  void Serve(int fd) {
    Reader reader(fd);
    Message request;
    while (reader.Read(&request, 60'000)) {
      int status = 200;
      const json body = Answer(request, &status);
      const std::string text = body.dump();
      if (!SendAll(fd, "HTTP/1.1 " + std::to_string(status) +
                           " X\r\nContent-Type: application/json\r\n"
                           "Content-Length: " +
                           std::to_string(text.size()) + "\r\n\r\n" + text)) {
        return;
      }
      request = {};
    }
  }

  json Answer(const Message& request, int* status) {
    const std::string target = request.Target();
    const std::string path = target.substr(0, target.find('?'));
    auto query = Query(target);
    std::unique_lock lock(mutex_);
    Expire();
    if (path == "/v1/kv-key") {
      const auto found = items_.find(query["key"]);
      if (found == items_.end()) {
        *status = 404;
        return {{"asOf", revision_}};
      }
      json row = Row(found->first, found->second);
      row["asOf"] = revision_;
      return row;
    }
    if (path == "/v1/kv-range") {
      json rows = json::array();
      bool more = false;
      for (const auto& [key, item] : items_) {
        if (key.starts_with(query["prefix"]) && key > query["after"]) {
          if (rows.size() >= 500) {
            more = true;
            break;
          }
          rows.push_back(Row(key, item));
        }
      }
      return {{"items", rows}, {"hasMore", more}, {"asOf", revision_}};
    }
    if (path == "/v1/kv-watch") {
      return Watch(&lock, query["prefix"], std::stoll(query["after"]),
                   std::stoi(query["waitMs"]));
    }
    const json body = json::parse(request.body, nullptr, false);
    if (path == "/v1/kv-txn") {
      return Transact(body, status);
    }
    if (path == "/v1/kv-lease") {
      const int64_t ttl = std::max<int64_t>(1'000, body.value("ttlMs", 1'000));
      leases_[++last_lease_] = {ttl,
                                Clock::now() + std::chrono::milliseconds(ttl)};
      return {{"lease", last_lease_}, {"ttlMs", ttl}};
    }
    const int64_t id = std::atoll(path.substr(path.rfind('/') + 1).c_str());
    const auto lease = leases_.find(id);
    if (lease == leases_.end()) {
      *status = 404;
      return json::object();
    }
    if (path.starts_with("/v1/kv-keep/")) {
      lease->second.ends =
          Clock::now() + std::chrono::milliseconds(lease->second.ttl_ms);
      return {{"ttlMs", lease->second.ttl_ms}};
    }
    EndLease(id);
    changed_.notify_all();
    return json::object();
  }

  json Watch(std::unique_lock<std::mutex>* lock,
             const std::string& prefix,
             int64_t after,
             int wait_ms) {
    const auto end = Clock::now() + std::chrono::milliseconds(wait_ms);
    while (true) {
      Expire();
      json rows = json::array();
      for (const Event& event : events_) {
        if (event.revision > after && event.key.starts_with(prefix)) {
          rows.push_back(event.row);
        }
      }
      if (!rows.empty() || Clock::now() >= end) {
        return {{"events", rows}, {"asOf", revision_}};
      }
      changed_.wait_until(
          *lock, std::min(end, Clock::now() + std::chrono::milliseconds(100)));
    }
  }

  json Transact(const json& body, int* status) {
    json current = json::array();
    bool holds = true;
    for (const json& row : body["expected"]) {
      const std::string key = row["key"];
      const auto found = items_.find(key);
      const int64_t revision =
          found == items_.end() ? 0 : found->second.revision;
      holds = holds && revision == row["revision"].get<int64_t>();
      if (found != items_.end()) {
        current.push_back(Row(key, found->second));
      }
    }
    if (!holds) {
      *status = 412;
      return {{"items", current}};
    }
    for (const json& row : body["puts"]) {
      const int64_t lease = row.value("lease", int64_t{0});
      if (lease != 0 && !leases_.contains(lease)) {
        *status = 404;
        return json::object();
      }
    }
    for (const json& row : body["puts"]) {
      PutLocked(row["key"], row["value"], row.value("lease", int64_t{0}));
    }
    for (const json& key : body["deletes"]) {
      DeleteLocked(key);
    }
    changed_.notify_all();
    return {{"revision", revision_}};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  int64_t revision_ = 10;
  int64_t last_lease_ = 0;
  std::map<std::string, Item> items_;
  std::vector<Event> events_;
  std::map<int64_t, Lease> leases_;
  Listener listener_;
};

// -------------------------------------------------------------- instance

// A backend server. `run` answers one request on its connection; it returns
// false to close the connection. A request with another expected name gets
// 421, as the pages say.
class Instance {
 public:
  using Run =
      std::function<bool(Instance& self, int fd, const Message& request)>;

  Instance(std::string id, Record* record, Run run)
      : id_(std::move(id)),
        record_(record),
        run_(std::move(run)),
        listener_([this](int fd) { Serve(fd); }) {}

  int port() const { return listener_.port(); }
  const std::string& id() const { return id_; }

  // Head of an answer up to its body's framing.
  std::string Head(const Message& request, int status) const {
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nComfreystand-Request-Id: " +
           request.Header("comfreystand-request-id") +
           "\r\nComfreystand-Server-Stamp: " + id_ + "." +
           request.Header("comfreystand-request-id") + "\r\n";
  }
  bool Answer(int fd,
              const Message& request,
              int status,
              const std::string& body) const {
    return SendAll(fd, Head(request, status) + "Content-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  // Runs of requests by their id.
  int Runs(const std::string& request_id) {
    const std::lock_guard lock(mutex_);
    return runs_[request_id];
  }

  // Requests whose heads have arrived, by their id.
  int Arrivals(const std::string& request_id) {
    const std::lock_guard lock(mutex_);
    return arrivals_[request_id];
  }

  // Entry of the store.
  json Entry(const std::string& service, int capacity) const {
    return {{"service", service},       {"address", Address(port())},
            {"zone", "zone-a"},         {"version", "v1"},
            {"capacity", capacity},     {"state", "ready"},
            {"coldLeftMs", 0},          {"sequence", 1},
            {"born", 1'700'000'000'000}};
  }

 private:
  void Serve(int fd) {
    Reader reader(fd);
    Message request;
    while (reader.ReadHead(&request, 60'000)) {
      if (request.Target() == "/health") {
        if (!SendAll(fd, "HTTP/1.1 200 X\r\nComfreystand-Instance-Id: " + id_ +
                             "\r\nContent-Length: 0\r\n\r\n")) {
          return;
        }
        request = {};
        continue;
      }
      const std::string request_id = request.Header("comfreystand-request-id");
      {
        const std::lock_guard lock(mutex_);
        ++arrivals_[request_id];
      }
      if (!reader.ReadBody(&request, 60'000)) {
        record_->Line(
            "instance %s gets %zu bytes of %s, then its connection "
            "ends",
            id_.c_str(), request.body.size(), request_id.c_str());
        return;
      }
      const std::string expected =
          request.Header("comfreystand-expect-instance");
      if (!expected.empty() && expected != id_) {
        if (!SendAll(fd, "HTTP/1.1 421 X\r\nComfreystand-Request-Id: " +
                             request_id + "\r\nContent-Length: 0\r\n\r\n")) {
          return;
        }
        request = {};
        continue;
      }
      {
        const std::lock_guard lock(mutex_);
        ++runs_[request_id];
      }
      record_->Line("instance %s runs %s %s", id_.c_str(), request_id.c_str(),
                    request.first.c_str());
      if (!run_(*this, fd, request)) {
        return;
      }
      request = {};
    }
  }

  const std::string id_;
  Record* const record_;
  const Run run_;
  std::mutex mutex_;
  std::map<std::string, int> arrivals_;
  std::map<std::string, int> runs_;
  Listener listener_;
};

// True when the peer has closed or reset the connection.
inline bool PeerLeft(int fd) {
  pollfd entry = {.fd = fd, .events = POLLRDHUP, .revents = 0};
  return poll(&entry, 1, 0) > 0;
}

// Works for `milliseconds`; returns false when the peer leaves meanwhile, as
// most instances drop a request when its connection closes.
inline bool Work(int fd, int milliseconds) {
  const auto end = Clock::now() + std::chrono::milliseconds(milliseconds);
  while (Clock::now() < end) {
    if (PeerLeft(fd)) {
      return false;
    }
    Sleep(5);
  }
  return true;
}

// --------------------------------------------------------------- gateway

inline std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

inline void ReplaceAll(std::string* text,
                       const std::string& from,
                       const std::string& to) {
  for (size_t at = 0; (at = text->find(from, at)) != std::string::npos;
       at += to.size()) {
    text->replace(at, from.size(), to);
  }
}

struct GatewayOptions {
  std::string name = "front-1";
  std::string zone = "zone-a";
  int memory_mb = 260;
  int max_fds = 4'100;
  int grace_s = 6;
};

// `comfreystand gateway` as a process, with the settings file rendered from
// deploy/gateway.ini.template.
class Gateway {
 public:
  Gateway(const std::string& root,
          const std::string& folder,
          int store_port,
          const GatewayOptions& options = {})
      : root_(root),
        settings_(folder + "/" + options.name + ".ini"),
        log_(folder + "/" + options.name + ".log"),
        ports_(FreePorts(6)) {
    std::string text = ReadFile(root + "/deploy/gateway.ini.template");
    const size_t begin = text.find("{{#zones}}");
    const size_t end = text.find("{{/zones}}\n");
    if (begin != std::string::npos && end != std::string::npos) {
      text.replace(begin, end + 11 - begin,
                   "zone-a = region-a\nzone-b = region-b\n");
    }
    const std::map<std::string, std::string> values = {
        {"node", options.name},
        {"zone", options.zone},
        {"region", options.zone == "zone-a" ? "region-a" : "region-b"},
        {"listen.front", Address(ports_[0])},
        {"listen.ready", Address(ports_[1])},
        {"listen.directory", Address(ports_[2])},
        {"listen.control", Address(ports_[3])},
        {"portRange.0", std::to_string(ports_[4])},
        {"seedNodes", Address(ports_[3])},
        {"platform.address", Address(store_port)},
        {"limits.maxFds", std::to_string(options.max_fds)},
        {"limits.cores", "1"},
        {"limits.cpuShare", "0.5"},
        {"limits.memoryMb", std::to_string(options.memory_mb)},
        {"bounds.graceS", std::to_string(options.grace_s)},
        {"bounds.ttl_max_s", "5"},
        {"bounds.budgetRatio", "0.2"},
        {"bounds.budgetExtra", "58"}};
    // The bench gives each machine an address of its own; here all share one,
    // so the port of the metrics is a free one.
    ReplaceAll(&text, "{{ipAddr}}:9464", Address(ports_[5]));
    ReplaceAll(&text, "{{ipAddr}}", "127.0.0.1");
    for (const auto& [name, value] : values) {
      ReplaceAll(&text, "{{" + name + "}}", value);
    }
    std::ofstream(settings_) << text;
  }
  ~Gateway() {
    if (Runs()) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
  }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void Start() {
    pid_ = fork();
    if (pid_ == 0) {
      // Ends with the thread that starts it: the main one.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, STDOUT_FILENO);
      dup2(log, STDERR_FILENO);
      const std::string program = root_ + "/target/comfreystand";
      execl(program.c_str(), program.c_str(), "gateway", settings_.c_str(),
            nullptr);
      _exit(127);
    }
    ended_ = false;
  }
  void Signal(int number) const { kill(pid_, number); }
  // Whether the process runs; its status is in status() once it has ended.
  bool Runs() {
    if (pid_ > 0 && !ended_ && waitpid(pid_, &status_, WNOHANG) == pid_) {
      ended_ = true;
    }
    return pid_ > 0 && !ended_;
  }
  int status() const { return status_; }
  bool Ready() const {
    const int fd = Connect(ports_[1]);
    if (fd < 0) {
      return false;
    }
    Message answer;
    Reader reader(fd);
    const bool ready =
        SendAll(fd, "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n") &&
        reader.Read(&answer, 1'000) && answer.Status() == 200;
    close(fd);
    return ready;
  }
  bool StartAndWait() {
    Start();
    return WaitFor(10'000, [this] { return Ready(); });
  }
  int front() const { return ports_[0]; }
  int pid() const { return pid_; }

 private:
  const std::string root_;
  const std::string settings_;
  const std::string log_;
  const std::vector<int> ports_;
  pid_t pid_ = 0;
  int status_ = 0;
  bool ended_ = true;
};

// ------------------------------------------------------------------ case

inline json Route(const std::string& prefix,
                  const std::string& kind,
                  const std::string& service,
                  int timeout_ms,
                  int goal_ms) {
  return {{"host", "a.example"},
          {"prefix", prefix},
          {"kind", kind},
          {"service", service},
          {"timeoutMs", timeout_ms},
          {"goalMs", goal_ms},
          {"priority", 1},
          {"maxAttempts", 3},
          {"sticky", false},
          {"allowedRegions", json::array()}};
}

inline json Service() {
  return {{"maxConns", 300},
          {"healthPath", "/health"},
          {"warmupS", 3},
          {"coldPerS", 20}};
}

inline json Config(int version, const json& routes, const json& services) {
  return {{"version", "r" + std::to_string(version)},
          {"routes", routes},
          {"services", services},
          {"limits",
           {{"headerBytes", 16'384},
            {"bodyBytes", 8'388'608},
            {"headerMs", 5'000},
            {"idleMs", 30'000}}}};
}

inline std::string Request(const std::string& method,
                           const std::string& target,
                           const std::string& id,
                           int deadline_ms,
                           const std::string& body = "") {
  std::string text =
      method + " " + target +
      " HTTP/1.1\r\nHost: a.example\r\n"
      "Comfreystand-Request-Id: " +
      id + "\r\nComfreystand-Deadline-Ms: " + std::to_string(deadline_ms) +
      "\r\n";
  if (!body.empty()) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

// What the environment gives a case: the repository, a folder for temporary
// files, the path of the record and whether the disruption is left out.
struct Setting {
  std::string root;
  std::string folder;
  std::string record;
  bool trouble = true;

  static Setting Read() {
    const auto get = [](const char* name, const char* fallback) {
      const char* value = std::getenv(name);
      return std::string(value ? value : fallback);
    };
    return {get("CASE_ROOT", "."), get("CASE_FOLDER", "/tmp"),
            get("CASE_RECORD", "record.txt"), get("TROUBLE", "1") != "0"};
  }
};

}  // namespace review

#endif  // COMFREYSTAND_REVIEW_HARNESS_2_HARNESS_H_
