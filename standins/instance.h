#ifndef STANDINS_INSTANCE_H_
#define STANDINS_INSTANCE_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "comfreystand/event_loop.h"
#include "standins/http_server.h"

// A backend server of the platform: knows its name, says what it did not run,
// and misbehaves where a request's query asks for it.
namespace comfreystand::standins {

struct InstanceBehaviour {
  int slots = 3;
  // Every request is refused as not run.
  bool shedding = false;
  // Milliseconds that work takes when the query does not say.
  int64_t work_ms = 1;
};

// The query of a request may name: work_ms, hold=1 (works until released),
// status, bytes (of the body), cut
// (bytes before the connection breaks), unframed=1 (ends with the connection),
// chunked=1, extra=1 (a second answer follows the first), early=1 (answers
// before the body is in), stamp=0 (no signature).
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
  // Ends the work that requests hold.
  void Release();
  // How often a request was run.
  int Runs(const std::string& request_id) const;
  int runs() const { return total_runs_; }
  int busy() const { return busy_; }
  // Runs whose caller left before they ended.
  int cancelled() const { return cancelled_; }
  // Value of the last request's header, or empty.
  std::string LastHeader(const std::string& header) const;
  const std::string& last_target() const { return last_target_; }
  const std::string& last_body() const { return last_body_; }

 private:
  void OnHead(const ExchangePtr& exchange);
  void OnRequest(const ExchangePtr& exchange);
  void Run(const ExchangePtr& exchange);
  void Answer(const ExchangePtr& exchange);
  std::string Head(const ExchangePtr& exchange, int status) const;

  EventLoop* const loop_;
  const std::string name_;
  InstanceBehaviour behaviour_;
  HttpServer server_;
  uint16_t port_ = 0;
  std::map<std::string, int> runs_;
  int total_runs_ = 0;
  int busy_ = 0;
  int cancelled_ = 0;
  std::vector<std::function<void()>> held_;
  std::vector<edge::HeaderField> last_headers_;
  std::string last_target_;
  std::string last_body_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace comfreystand::standins

#endif  // STANDINS_INSTANCE_H_
