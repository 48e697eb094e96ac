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

// Stand-in for a backend server, for tests, examples and benchmarks.
namespace comfreystand::standins {

// Behaviour of the stand-in; may be changed while it runs.
struct BackendBehaviour {
  int slots = 3;
  // Max requests queued for a slot; further ones are refused.
  int max_queued = 64;
  int max_connections = 400;
  // Added to the first request of each connection.
  Duration connection_cost = std::chrono::milliseconds(1);
  // Time for which a probe occupies a slot.
  Duration probe_cost = std::chrono::milliseconds(6);
  // Service time of requests without work_ms.
  Duration work = std::chrono::milliseconds(2);
  // Multiplies all service times.
  double work_factor = 1;
  // Number of next requests whose service time is multiplied by `cold_factor`.
  int cold_requests = 0;
  double cold_factor = 5;
  // Age of the data in load reports.
  Duration load_report_age{0};
  // Load reports give this number of busy slots instead of the real one; a
  // negative value turns this off.
  int reported_busy = -1;
  // Responses carry "Comfreystand-Leaving: yes": the server is draining.
  bool leaving = false;
  // New requests are refused.
  bool shedding = false;
  // Whether cancellation is supported; if not, DELETE /cancel gets 404.
  bool supports_cancel = true;
  // No request gets a response, on old or new connections.
  bool silent = false;
};

// Counters since start.
struct BackendCounts {
  uint64_t requests = 0;
  uint64_t started = 0;
  uint64_t finished = 0;
  uint64_t refused = 0;
  uint64_t cancelled_before_start = 0;
  uint64_t cancelled_running = 0;
  uint64_t deadlines_exceeded = 0;
  uint64_t probes = 0;
  uint64_t connections = 0;
};

// Serves requests with a limited number of slots, on the event loop passed in.
//
// GET /probe         occupies a slot for `probe_cost`
// GET /load          {"busy", "slots", "age_ms"}
// GET /runs          {"operations": {id: number of starts}, ...} and `counts`
// POST /control      JSON with the fields listed in backend_control.cc and
//                    "silence_open": true, see SilenceOpenConnections()
// DELETE /cancel/ID  cancels an attempt
// Any other request occupies a slot for its service time. Its query may set
// work_ms, status, body_bytes, chunked=1, close=1 (body ends with the
// connection) and cut (bytes of the body sent before the connection closes).
class Backend {
 public:
  Backend(event_base* base, const BackendBehaviour& behaviour);
  ~Backend();
  Backend(const Backend&) = delete;
  Backend& operator=(const Backend&) = delete;

  // Starts listening on "a.b.c.d:port". Returns false on failure.
  bool Listen(const std::string& address);
  uint16_t port() const { return port_; }
  std::string address() const;

  BackendBehaviour& behaviour() { return behaviour_; }
  const BackendCounts& counts() const { return counts_; }
  int busy() const { return busy_; }
  int open_connections() const;
  // Number of times a request of the operation was started.
  int StartCount(const std::string& operation) const;
  const std::unordered_map<std::string, int>& start_counts() const {
    return start_counts_;
  }

  // Applies a body of POST /control. Returns false, without any change, when a
  // name or a value is invalid.
  bool ApplyControl(const std::string& json_text);

  // Requests on the connections open now never get a response.
  void SilenceOpenConnections();
  void CloseOpenConnections();

 private:
  struct Job;
  struct Connection;
  using Handler = void (Backend::*)(evhtp_request* request);

  template <Handler handler>
  void RegisterHandler(const char* path, bool glob);
  void OnWork(evhtp_request* request);
  void OnProbe(evhtp_request* request);
  void OnLoad(evhtp_request* request);
  void OnRuns(evhtp_request* request);
  void OnControl(evhtp_request* request);
  void OnCancel(evhtp_request* request);

  // Suspends the request for good if it is to get no response. Returns whether
  // it did.
  bool PauseIfSilent(evhtp_request* request);
  void PauseRequest(evhtp_request* request);
  Job* NewJob(evhtp_request* request);
  void Admit(Job* job);
  void StartJob(Job* job);
  void OnJobTimer(Job* job);
  void Finish(Job* job);
  void StartQueuedJobs();
  void Refuse(Job* job);
  void SendErrorResponse(Job* job, int status, const char* started);
  void SendResponse(Job* job);
  void RemoveJob(Job* job);
  void RememberAttempt(const std::string& attempt);
  std::string LoadReport();

  event_base* const base_;
  BackendBehaviour behaviour_;
  BackendCounts counts_;
  evhtp* htp_ = nullptr;
  uint16_t port_ = 0;
  int busy_ = 0;
  std::unordered_map<Job*, std::unique_ptr<Job>> jobs_;
  std::deque<Job*> queue_;
  std::unordered_map<std::string, Job*> jobs_by_attempt_;
  std::unordered_map<evhtp_connection*, Connection> connections_;
  std::unordered_map<std::string, int> start_counts_;
  // Attempts that ended, or were cancelled before they arrived. Limited to the
  // newest kMaxRememberedAttempts; `finished_order_` has the oldest first.
  std::deque<std::string> finished_order_;
  std::set<std::string> finished_attempts_;
  std::set<std::string> cancelled_attempts_;
  // Busy slots at each load report, for reports with `load_report_age`.
  std::deque<std::pair<TimePoint, int>> load_history_;
};

}  // namespace comfreystand::standins

#endif  // COMFREYSTAND_STANDINS_BACKEND_H_
