#ifndef COMFREYSTAND_STANDINS_BACKEND_H_
#define COMFREYSTAND_STANDINS_BACKEND_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "comfreystand/base.h"

struct event_base;
struct evhtp;
struct evhtp_connection;
struct evhtp_request;

// A backend server for tests, examples and measurements.
namespace comfreystand::standins {

// What the stand-in does; may be changed while it runs.
struct BackendBehaviour {
  int slots = 3;
  // Requests that wait for a slot before further ones are refused.
  int queue = 64;
  int max_connections = 400;
  Duration connection_cost = std::chrono::milliseconds(1);
  Duration probe_cost = std::chrono::milliseconds(6);
  // Work of requests that don't say.
  Duration work = std::chrono::milliseconds(2);
  // Factor on all work.
  double slowness = 1;
  // The next so many requests take `cold_factor` times as long.
  int cold_requests = 0;
  double cold_factor = 5;
  // Age of what load reports tell.
  Duration load_lag{0};
  // Load reports tell this number of busy slots unless it is negative.
  int load_lie = -1;
  // Answers say that the server is leaving.
  bool leaving = false;
  // New requests are refused.
  bool shedding = false;
  // Cancellations are answered.
  bool cancels = true;
  // No connection is answered, old or new.
  bool silent = false;
};

// Totals since the start.
struct BackendCounts {
  uint64_t requests = 0;
  uint64_t started = 0;
  uint64_t finished = 0;
  uint64_t refused = 0;
  uint64_t cancelled_before_start = 0;
  uint64_t cancelled_running = 0;
  uint64_t deadlines_passed = 0;
  uint64_t probes = 0;
  uint64_t connections = 0;
};

// Serves requests with a bounded number of slots. Runs on the loop it is given.
//
// GET /probe         takes a slot for the probe's cost
// GET /load          {"busy", "slots", "age_ms"}
// GET /runs          {"operations": {id: starts}, ...}
// POST /control      JSON with fields of BackendBehaviour and
//                    "silence_open": true, which silences open connections
// DELETE /cancel/ID  cancels an attempt
// Anything else is work; its query may name work_ms, status, body_bytes,
// chunked, close, and cut (bytes of the body before the connection breaks).
class Backend {
 public:
  Backend(event_base* base, const BackendBehaviour& behaviour);
  ~Backend();
  Backend(const Backend&) = delete;
  Backend& operator=(const Backend&) = delete;

  // Starts listening on "a.b.c.d:port". Returns false when that fails.
  bool Listen(const std::string& address);
  uint16_t port() const { return port_; }
  std::string address() const;

  BackendBehaviour& behaviour() { return behaviour_; }
  const BackendCounts& counts() const { return counts_; }
  int busy() const { return busy_; }
  int open_connections() const;
  // How often work on an operation was started.
  int Starts(const std::string& operation) const;
  const std::unordered_map<std::string, int>& starts() const { return starts_; }

  // Takes what POST /control takes. Returns false, and changes nothing, when a
  // name or a value is wrong.
  bool Control(const std::string& text);

  // Connections open now are read but never answered again.
  void SilenceOpenConnections();
  void CloseOpenConnections();

 private:
  struct Job;
  struct Connection;
  using Handler = void (Backend::*)(evhtp_request* request);

  template <Handler handler>
  void Route(const char* path, bool glob);
  void OnWork(evhtp_request* request);
  void OnProbe(evhtp_request* request);
  void OnLoad(evhtp_request* request);
  void OnRuns(evhtp_request* request);
  void OnControl(evhtp_request* request);
  void OnCancel(evhtp_request* request);

  bool IsSilent(evhtp_request* request);
  void Hold(evhtp_request* request);
  Job* NewJob(evhtp_request* request);
  void Admit(Job* job);
  void Begin(Job* job);
  void OnJobTimer(Job* job);
  void Finish(Job* job);
  void StartQueued();
  void Refuse(Job* job);
  void Answer(Job* job, int status, const char* started);
  void SendAnswer(Job* job);
  void EndJob(Job* job);
  void Remember(const std::string& attempt);
  std::string LoadText();

  event_base* const base_;
  BackendBehaviour behaviour_;
  BackendCounts counts_;
  evhtp* htp_ = nullptr;
  uint16_t port_ = 0;
  int busy_ = 0;
  std::unordered_map<Job*, std::unique_ptr<Job>> jobs_;
  std::deque<Job*> waiting_;
  std::unordered_map<std::string, Job*> by_attempt_;
  std::unordered_map<evhtp_connection*, Connection> connections_;
  std::unordered_map<std::string, int> starts_;
  // Attempts that ended or were cancelled before they came, oldest first.
  std::deque<std::string> remembered_order_;
  std::set<std::string> ended_;
  std::set<std::string> cancelled_;
  // Busy slots over time, for reports that lag.
  std::deque<std::pair<TimePoint, int>> load_history_;
};

}  // namespace comfreystand::standins

#endif  // COMFREYSTAND_STANDINS_BACKEND_H_
