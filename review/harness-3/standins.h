// Stand-ins of the platform's store and of instances, and gateways as
// processes.
#ifndef REVIEW_HARNESS_3_STANDINS_H_
#define REVIEW_HARNESS_3_STANDINS_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>

#include "net.h"

namespace review {

using nlohmann::json;

// Lines of record.txt: what was sent, answered and run, and when.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Add(const std::string& line) {
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f ", Seconds());
    file_ << time << line << '\n' << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

// Accepts connections and serves each on a thread of its own.
class ThreadServer {
 public:
  ThreadServer(std::string host, std::function<void(int fd)> serve)
      : host_(std::move(host)), serve_(std::move(serve)) {}

  // Listens at a free port, or at the one used before. Returns false when it
  // can't.
  bool Start() {
    const std::pair<int, int> listener = Listen(host_, port_);
    const int fd = listener.first;
    const int port = listener.second;
    if (fd < 0) {
      return false;
    }
    listener_ = fd;
    port_ = port;
    std::thread([this, fd] {
      while (true) {
        const int client = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) {
          return;
        }
        const int on = 1;
        setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        {
          const std::lock_guard lock(mutex_);
          open_.insert(client);
        }
        std::thread([this, client] {
          serve_(client);
          const std::lock_guard lock(mutex_);
          open_.erase(client);
          close(client);
        }).detach();
      }
    }).detach();
    return true;
  }

  // Ends the listener and all connections, as the end of a process does.
  void Stop() {
    shutdown(listener_, SHUT_RDWR);
    close(listener_);
    const std::lock_guard lock(mutex_);
    for (const int client : open_) {
      shutdown(client, SHUT_RDWR);
    }
  }

  const std::string& host() const { return host_; }
  int port() const { return port_; }
  std::string address() const { return host_ + ":" + std::to_string(port_); }

 private:
  const std::string host_;
  const std::function<void(int fd)> serve_;
  int listener_ = -1;
  int port_ = 0;
  std::mutex mutex_;
  std::set<int> open_;
};

inline std::string EncodeBase64(const std::string& bytes) {
  static const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (i + j < bytes.size() ? static_cast<uint8_t>(bytes[i + j]) : 0);
    }
    for (size_t j = 0; j < 4; ++j) {
      text += i + j <= bytes.size() ? kDigits[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}

inline std::string DecodePercent(const std::string& text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded +=
          static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

inline std::string QueryValue(const std::string& target,
                              const std::string& name) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t end = target.find('&', at + 1);
    const std::string field = target.substr(at + 1, end - at - 1);
    if (field.starts_with(name + "=")) {
      return DecodePercent(field.substr(name.size() + 1));
    }
    at = end;
  }
  return "";
}

inline std::string FormatReply(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Reply\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The platform's metadata store, as PROTOCOL.md describes it.
class Store {
 public:
  explicit Store(const std::string& host)
      : server_(host, [this](int fd) { Serve(fd); }) {
    server_.Start();
    std::thread([this] {
      while (true) {
        Sleep(0.05);
        ExpireLeases();
      }
    }).detach();
  }

  std::string address() const { return server_.address(); }

  // Writes as the operator or an instance does. Returns when it has been
  // accepted, as of Seconds().
  double Put(const std::string& key, const json& value) {
    const std::lock_guard lock(mutex_);
    Write(key, EncodeBase64(value.dump()), 0);
    changed_.notify_all();
    return Seconds();
  }
  double Remove(const std::string& key) {
    const std::lock_guard lock(mutex_);
    Erase(key);
    changed_.notify_all();
    return Seconds();
  }
  bool Has(const std::string& key) {
    const std::lock_guard lock(mutex_);
    return items_.contains(key);
  }

 private:
  struct Item {
    std::string value;
    int64_t revision = 0;
    int64_t created = 0;
    int64_t lease = 0;
  };
  struct Lease {
    double ttl = 0;
    double ends_at = 0;
  };

  void Write(const std::string& key, const std::string& value, int64_t lease) {
    ++revision_;
    Item& item = items_[key];
    item.value = value;
    item.revision = revision_;
    item.created = item.created == 0 ? revision_ : item.created;
    item.lease = lease;
    events_.push_back({key, ToJson(key, item)});
  }
  void Erase(const std::string& key) {
    if (items_.erase(key) > 0) {
      ++revision_;
      events_.push_back(
          {key, {{"key", key}, {"revision", revision_}, {"deleted", true}}});
    }
  }
  static json ToJson(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", item.value},
            {"revision", item.revision},
            {"createRevision", item.created},
            {"lease", item.lease}};
  }

  void EndLease(int64_t lease) {
    leases_.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == lease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      Erase(key);
    }
  }
  void ExpireLeases() {
    const std::lock_guard lock(mutex_);
    std::vector<int64_t> ended;
    for (const auto& [id, lease] : leases_) {
      if (lease.ends_at <= Seconds()) {
        ended.push_back(id);
      }
    }
    for (const int64_t id : ended) {
      EndLease(id);
    }
    if (!ended.empty()) {
      changed_.notify_all();
    }
  }

  void Serve(int fd) {
    Reader reader(fd);
    while (true) {
      const Message request = reader.Read(false, Seconds() + 3'600);
      if (!request.complete || !SendAll(fd, Answer(request))) {
        return;
      }
    }
  }

  std::string Answer(const Message& request) {
    const std::string path = request.Path();
    const std::string target = request.Target();
    std::unique_lock lock(mutex_);
    if (path == "/v1/kv-key") {
      const std::string key = QueryValue(target, "key");
      const auto found = items_.find(key);
      json body =
          found == items_.end() ? json::object() : ToJson(key, found->second);
      body["asOf"] = revision_;
      return FormatReply(found == items_.end() ? 404 : 200, body.dump());
    }
    if (path == "/v1/kv-range") {
      const std::string prefix = QueryValue(target, "prefix");
      const std::string after = QueryValue(target, "after");
      json rows = json::array();
      for (const auto& [key, item] : items_) {
        if (key.starts_with(prefix) && key > after) {
          rows.push_back(ToJson(key, item));
        }
      }
      return FormatReply(
          200, json({{"items", rows}, {"hasMore", false}, {"asOf", revision_}})
                   .dump());
    }
    if (path == "/v1/kv-watch") {
      const std::string prefix = QueryValue(target, "prefix");
      const int64_t after = std::stoll(QueryValue(target, "after"));
      const double wait = std::stod(QueryValue(target, "waitMs")) / 1'000;
      const auto until =
          Clock::now() + std::chrono::duration_cast<Clock::duration>(
                             std::chrono::duration<double>(wait));
      json rows = EventsAfter(prefix, after);
      while (rows.empty() &&
             changed_.wait_until(lock, until) != std::cv_status::timeout) {
        rows = EventsAfter(prefix, after);
      }
      return FormatReply(200,
                         json({{"events", rows}, {"asOf", revision_}}).dump());
    }
    if (path == "/v1/kv-txn") {
      return Commit(json::parse(request.body, nullptr, false));
    }
    if (path == "/v1/kv-lease") {
      const json body = json::parse(request.body, nullptr, false);
      const double ttl = body.value("ttlMs", 1'000.0) / 1'000;
      const int64_t id = ++last_lease_;
      leases_[id] = {ttl, Seconds() + ttl};
      return FormatReply(200,
                         json({{"lease", id}, {"ttlMs", ttl * 1'000}}).dump());
    }
    const int64_t id = std::atoll(path.substr(path.rfind('/') + 1).c_str());
    const auto lease = leases_.find(id);
    if (lease == leases_.end()) {
      return FormatReply(404, "{}");
    }
    if (path.starts_with("/v1/kv-keep/")) {
      lease->second.ends_at = Seconds() + lease->second.ttl;
    } else {
      EndLease(id);
      changed_.notify_all();
    }
    return FormatReply(200, "{}");
  }

  json EventsAfter(const std::string& prefix, int64_t after) const {
    json rows = json::array();
    for (const auto& [key, event] : events_) {
      if (event["revision"].get<int64_t>() > after && key.starts_with(prefix)) {
        rows.push_back(event);
      }
    }
    return rows;
  }

  std::string Commit(const json& body) {
    for (const json& row : body.value("expected", json::array())) {
      const auto found = items_.find(row["key"].get<std::string>());
      const int64_t revision =
          found == items_.end() ? 0 : found->second.revision;
      if (revision != row["revision"].get<int64_t>()) {
        return FormatReply(412, "{\"items\":[]}");
      }
    }
    for (const json& row : body.value("puts", json::array())) {
      const int64_t lease = row.value("lease", int64_t{0});
      if (lease != 0 && !leases_.contains(lease)) {
        return FormatReply(404, "{}");
      }
    }
    for (const json& row : body.value("puts", json::array())) {
      Write(row["key"].get<std::string>(), row["value"].get<std::string>(),
            row.value("lease", int64_t{0}));
    }
    for (const json& key : body.value("deletes", json::array())) {
      Erase(key.get<std::string>());
    }
    changed_.notify_all();
    return FormatReply(200, json({{"revision", revision_}}).dump());
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<std::pair<std::string, json>> events_;
  std::map<int64_t, Lease> leases_;
  int64_t revision_ = 0;
  int64_t last_lease_ = 0;
  ThreadServer server_;
};

// An instance of a service: registers itself, answers health checks, and runs
// requests in its slots.
class Instance {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone = "zone-a";
    int capacity = 3;
    // Reads large bodies slowly: it pauses for so long within each.
    double pause_in_body = 0;
  };
  // What one request does at the instance.
  struct Work {
    double seconds = 0.1;
    std::string body = "done";
    // Bytes of the body after which a faulty instance breaks off; -1: none.
    int64_t break_off_after = -1;
  };
  using WorkFor = std::function<Work(const Message& request)>;

  Instance(Store* store,
           Record* record,
           const std::string& host,
           Options options,
           WorkFor work)
      : store_(store),
        record_(record),
        options_(std::move(options)),
        work_(std::move(work)),
        server_(host, [this](int fd) { Serve(fd); }) {
    server_.Start();
    born_ = UnixMillis();
    Register();
    std::thread([this] {
      while (true) {
        Sleep(kHeartbeat);
        Register();
      }
    }).detach();
  }

  const std::string& id() const { return options_.id; }
  std::string address() const { return server_.address(); }

  // The instance turns cold for `seconds` and says so in the store.
  double TurnCold(double seconds) {
    cold_until_ = Seconds() + seconds;
    return Register();
  }
  double ColdLeft() const { return std::max(0.0, cold_until_ - Seconds()); }

  // Ends all connections, as a crash does.
  void Crash() {
    crashed_ = true;
    server_.Stop();
  }
  // Starts again after a crash, under the same id and address, cold for
  // `cold_seconds`. Returns when the store has its registration.
  double StartAgain(double cold_seconds) {
    crashed_ = false;
    running_ = 0;
    sequence_ = 0;
    born_ = UnixMillis();
    server_.Start();
    return TurnCold(cold_seconds);
  }
  bool crashed() const { return crashed_; }

  // Times at which requests began to run, and at which they arrived.
  std::vector<std::pair<double, std::string>> Arrivals() {
    const std::lock_guard lock(mutex_);
    return arrivals_;
  }
  std::set<std::string> Runs() {
    const std::lock_guard lock(mutex_);
    return runs_;
  }
  // Requests of which at least the head has been read.
  std::set<std::string> Begun() {
    const std::lock_guard lock(mutex_);
    return begun_;
  }

  double Register() {
    if (crashed_) {
      return Seconds();
    }
    return store_->Put(
        "servers/" + options_.id,
        {{"service", options_.service},
         {"address", server_.address()},
         {"zone", options_.zone},
         {"version", "v1"},
         {"capacity", options_.capacity},
         {"state", "ready"},
         {"coldLeftMs", static_cast<int64_t>(ColdLeft() * 1'000)},
         {"sequence", ++sequence_},
         {"born", born_.load()}});
  }

 private:
  static constexpr double kHeartbeat = 1.5;

  std::string LoadLine() {
    return "Comfreystand-Server-Load: " + std::to_string(running_.load()) +
           ",0," + std::to_string(options_.capacity) + "\r\n";
  }

  std::string FormatHealth() {
    std::string head =
        "HTTP/1.1 200 OK\r\nComfreystand-Instance-Id: " + options_.id + "\r\n" +
        LoadLine();
    if (ColdLeft() > 0) {
      head += "Comfreystand-Cold-Ms: " +
              std::to_string(static_cast<int64_t>(ColdLeft() * 1'000)) + "\r\n";
    }
    return head + "Content-Length: 0\r\n\r\n";
  }

  std::string FormatNotRun(int status, const std::string& request_id) {
    return "HTTP/1.1 " + std::to_string(status) +
           " Not run\r\nComfreystand-Not-Executed: 1\r\n"
           "Comfreystand-Request-Id: " +
           request_id + "\r\n" + LoadLine() + "Content-Length: 0\r\n\r\n";
  }

  void Serve(int fd) {
    Reader reader(fd);
    reader.SetHeadHandler(
        [this](const Message& head) {
          const std::string id = head.Find("Comfreystand-Request-Id");
          if (!id.empty()) {
            record_->Add(options_.id + " begins " + id);
          }
          const std::lock_guard lock(mutex_);
          begun_.insert(id);
        },
        options_.pause_in_body);
    while (!crashed_) {
      const Message request = reader.Read(false, Seconds() + 3'600);
      if (!request.complete || !Handle(fd, request)) {
        return;
      }
    }
  }

  // Returns false when the connection ends.
  bool Handle(int fd, const Message& request) {
    if (request.Path() == "/health") {
      return SendAll(fd, FormatHealth());
    }
    const std::string id = request.Find("Comfreystand-Request-Id");
    const std::string expected = request.Find("Comfreystand-Expect-Instance");
    if (!expected.empty() && expected != options_.id) {
      return SendAll(fd, FormatNotRun(421, id));
    }
    {
      const std::lock_guard lock(mutex_);
      arrivals_.emplace_back(Seconds(), id);
    }
    // A few requests wait for a slot.
    const double wait_until = Seconds() + 0.5;
    while (!TakeSlot()) {
      if (Seconds() >= wait_until) {
        return SendAll(fd, FormatNotRun(503, id));
      }
      Sleep(0.002);
    }
    {
      const std::lock_guard lock(mutex_);
      runs_.insert(id);
    }
    const int64_t born = born_;
    const Work work = work_(request);
    record_->Add(options_.id + " runs " + id + " " + request.Path());
    const double ends_at = Seconds() + work.seconds;
    while (Seconds() < ends_at && !PeerHasClosed(fd)) {
      Sleep(0.002);
    }
    running_ -= born == born_ ? 1 : 0;
    if (crashed_ || born != born_ || PeerHasClosed(fd)) {
      record_->Add(options_.id + " drops " + id + ", its connection has ended");
      return false;
    }
    return SendAnswer(fd, id, work);
  }

  bool TakeSlot() {
    int running = running_;
    while (running < options_.capacity) {
      if (running_.compare_exchange_weak(running, running + 1)) {
        return true;
      }
    }
    return false;
  }

  bool SendAnswer(int fd, const std::string& id, const Work& work) {
    const std::string answer =
        "HTTP/1.1 200 OK\r\nComfreystand-Request-Id: " + id +
        "\r\nComfreystand-Server-Stamp: " + options_.id + "." + id + "\r\n" +
        LoadLine() + "Content-Length: " + std::to_string(work.body.size()) +
        "\r\n\r\n";
    if (work.break_off_after < 0) {
      record_->Add(options_.id + " answers " + id + ", " +
                   std::to_string(work.body.size()) + " bytes");
      return SendAll(fd, answer + work.body);
    }
    record_->Add(options_.id + " breaks its answer to " + id + " off after " +
                 std::to_string(work.break_off_after) + " of " +
                 std::to_string(work.body.size()) + " bytes");
    SendAll(fd, answer + work.body.substr(
                             0, static_cast<size_t>(work.break_off_after)));
    return false;
  }

  Store* const store_;
  Record* const record_;
  const Options options_;
  const WorkFor work_;
  std::mutex mutex_;
  std::vector<std::pair<double, std::string>> arrivals_;
  std::set<std::string> runs_;
  std::set<std::string> begun_;
  std::atomic<int> running_ = 0;
  std::atomic<int> sequence_ = 0;
  std::atomic<double> cold_until_ = 0;
  std::atomic<bool> crashed_ = false;
  std::atomic<int64_t> born_ = 0;
  ThreadServer server_;
};

// A gateway as a process of its own, with the settings of the deploy file's
// template.
class Gateway {
 public:
  struct Options {
    std::string program;
    std::string folder;
    std::string name = "front-a-1";
    std::string host;
    std::string zone = "zone-a";
    std::string store;
    std::string seeds;
    int memory_mb = 260;
    int max_fds = 4'100;
  };

  explicit Gateway(Options options) : options_(std::move(options)) {
    front_ = FreePort(options_.host);
    ready_ = FreePort(options_.host);
    directory_ = FreePort(options_.host);
    control_ = FreePort(options_.host);
    const std::string at = options_.host + ":";
    settings_ = options_.folder + "/" + options_.name + ".ini";
    std::ofstream(settings_)
        << "[node]\nname = " << options_.name << "\ndomain = " << options_.zone
        << "\nregion = region-a\n[listen]\ntraffic = " << at << front_
        << "\nreadiness = " << at << ready_ << "\ndirectory = " << at
        << directory_ << "\nmetrics = " << at << FreePort(options_.host)
        << "\npeers = " << at << control_ << "\nquota = " << at
        << FreePort(options_.host) << "\n[peers]\nseeds = " << options_.seeds
        << "\n[store]\naddress = " << options_.store
        << "\n[domains]\nzone-a = region-a\nzone-b = region-a\n"
        << "[limits]\nmax-descriptors = " << options_.max_fds
        << "\ncores = 1\ncpu-share = 0.2\nmemory = " << options_.memory_mb
        << "\n[bounds]\ngrace = 6\nmax-answer-ttl = 5\n"
        << "resend-ratio = 0.2\nresend-extra = 58\n";
  }
  ~Gateway() { Kill(); }

  void Start() {
    pid_ = fork();
    if (pid_ == 0) {
      const std::string log = options_.folder + "/" + options_.name + ".log";
      dup2(open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644), 1);
      dup2(open("/dev/null", O_WRONLY), 2);
      // The platform limits the descriptors of each process.
      const rlim_t max_fds = static_cast<rlim_t>(options_.max_fds);
      rlimit limit{};
      getrlimit(RLIMIT_NOFILE, &limit);
      limit.rlim_cur = std::min(limit.rlim_cur, max_fds);
      setrlimit(RLIMIT_NOFILE, &limit);
      execl(options_.program.c_str(), "comfreystand", "gateway",
            settings_.c_str(), nullptr);
      _exit(127);
    }
  }
  void Signal(int number) const {
    if (pid_ > 0) {
      kill(pid_, number);
    }
  }
  // Whether the process has ended, and its status if so.
  bool HasEnded(int* status) {
    if (pid_ > 0 && waitpid(pid_, status, WNOHANG) == pid_) {
      pid_ = -1;
      return true;
    }
    return false;
  }
  void Kill() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }
  pid_t pid() const { return pid_; }
  int front() const { return front_; }
  int directory() const { return directory_; }
  int ready() const { return ready_; }
  const std::string& host() const { return options_.host; }
  std::string control() const {
    return options_.host + ":" + std::to_string(control_);
  }

  bool AwaitReady(double seconds) const {
    const double until = Seconds() + seconds;
    while (Seconds() < until) {
      const int fd = Connect(options_.host, ready_);
      if (fd >= 0) {
        SendAll(fd, "GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
        const Message answer = Reader(fd).Read(true, Seconds() + 1);
        close(fd);
        if (answer.Status() == 200) {
          return true;
        }
      }
      Sleep(0.05);
    }
    return false;
  }

 private:
  const Options options_;
  std::string settings_;
  int front_ = 0;
  int ready_ = 0;
  int directory_ = 0;
  int control_ = 0;
  pid_t pid_ = -1;
};

inline json MakeRoute(const std::string& prefix,
                      const std::string& service,
                      bool idempotent,
                      int timeout_ms,
                      int max_attempts = 2) {
  return {{"host", "a.example"},
          {"prefix", prefix},
          {"service", service},
          {"kind", idempotent ? "idempotent" : "non_idempotent"},
          {"timeoutMs", timeout_ms},
          {"goalMs", 400},
          {"priority", 1},
          {"maxAttempts", max_attempts}};
}

inline json MakeService(double cold_per_s = 3.6) {
  return {{"maxConns", 330},
          {"healthPath", "/health"},
          {"warmupS", 3},
          {"coldPerS", cold_per_s}};
}

inline json MakeConfig(int version, const json& routes, const json& services) {
  return {{"version", "r" + std::to_string(version)},
          {"routes", routes},
          {"services", services},
          {"limits",
           {{"headerBytes", 16'384},
            {"bodyBytes", 4'000'000},
            {"headerMs", 5'000},
            {"idleMs", 15'000}}}};
}

// Formats a request of a client without a body.
inline std::string FormatRequest(const std::string& method,
                                 const std::string& target,
                                 const std::string& id,
                                 int deadline_ms) {
  return method + " " + target +
         " HTTP/1.1\r\nHost: a.example\r\nComfreystand-Request-Id: " + id +
         "\r\nComfreystand-Deadline-Ms: " + std::to_string(deadline_ms) +
         "\r\n\r\n";
}

}  // namespace review

#endif  // REVIEW_HARNESS_3_STANDINS_H_
