#ifndef STANDINS_INSTANCE_H_
#define STANDINS_INSTANCE_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "comfreystand/event_loop.h"
#include "standins/http_server.h"

// Stand-in for a backend server of the platform: sends its instance name, marks
// requests that it did not execute, and simulates faults requested in the
// query.
namespace comfreystand::standins {

struct InstanceBehaviour {
  int slots = 3;
  // Every request is refused as not executed.
  bool shedding = false;
  // Service time of requests without work_ms in the query, milliseconds.
  int64_t work_ms = 1;
  // Limit that answers name, requests per second; none when empty.
  std::string limit;
  // Remaining cold time that health checks tell, milliseconds.
  int64_t cold_ms = 0;
  // All answers say that it leaves.
  bool leaving = false;
  // Time for which refusals ask to wait, seconds; none when empty.
  std::string retry_after;
};

// The query of a request may set:
// work_ms     service time, milliseconds
// hold=1      runs until ReleaseHeldRequests()
// status      status of the response, default 200
// bytes       size of the response body; 4 bytes are added to it
// cut         bytes of the body sent before the connection closes
// head_cut    bytes of the head sent before the connection closes
// unframed=1  response without a length, ends with the connection
// chunked=1   chunked response with a body of 4 bytes
// extra=1     a second response follows the first
// early=1     responds before the request body has been received
// stamp=0     response without the header with the instance name
class Instance {
 public:
  Instance(EventLoop* loop, std::string name);
  ~Instance();
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  const std::string& name() const { return name_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  InstanceBehaviour& behaviour() { return behaviour_; }
  HttpServer& server() { return server_; }
  // Ends the process: breaks its connections off and refuses new ones.
  void Crash();
  // Starts another process at the same address, under the same name. Returns
  // false when the address is taken.
  bool StartAgain();
  // Completes all requests with hold=1.
  void ReleaseHeldRequests();
  // Number of times a request was executed.
  int RunCount(const std::string& request_id) const;
  int total_runs() const { return total_runs_; }
  // Most executions that began within a time since `start`.
  int MostRunsWithin(Duration time, TimePoint start) const;
  int health_checks() const { return health_checks_; }
  int refusals() const { return refusals_; }
  int busy() const { return busy_; }
  // Executions whose caller disconnected before their end.
  int cancelled() const { return cancelled_; }
  // Value of a header of the last request, or empty.
  std::string LastHeader(const std::string& header) const;
  const std::string& last_target() const { return last_target_; }
  const std::string& last_body() const { return last_body_; }

 private:
  void OnHead(const ExchangePtr& exchange);
  void AnswerHealthCheck(const ExchangePtr& exchange);
  void OnRequest(const ExchangePtr& exchange);
  void Refuse(const ExchangePtr& exchange);
  void Run(const ExchangePtr& exchange);
  void SendResponse(const ExchangePtr& exchange);
  std::string ResponseHead(const ExchangePtr& exchange, int status) const;

  EventLoop* const loop_;
  const std::string name_;
  InstanceBehaviour behaviour_;
  HttpServer server_;
  uint16_t port_ = 0;
  std::map<std::string, int> run_counts_;
  int total_runs_ = 0;
  std::vector<TimePoint> run_times_;
  int health_checks_ = 0;
  int refusals_ = 0;
  int busy_ = 0;
  int cancelled_ = 0;
  std::vector<std::function<void()>> held_requests_;
  std::vector<edge::HeaderField> last_headers_;
  std::string last_target_;
  std::string last_body_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace comfreystand::standins

#endif  // STANDINS_INSTANCE_H_
