#ifndef STANDINS_VM_LIST_H_
#define STANDINS_VM_LIST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "comfreystand/event_loop.h"
#include "comfreystand/platform.h"

struct evhtp;
struct evhtp_request;

// Stand-in for the platform's list of live and leaving VMs. Changes show up
// after a lag.
namespace comfreystand::standins {

class VmListServer {
 public:
  VmListServer(EventLoop* loop, const std::string& address, Duration lag);
  ~VmListServer();
  VmListServer(const VmListServer&) = delete;
  VmListServer& operator=(const VmListServer&) = delete;

  uint16_t port() const { return port_; }

  void SetOutage(bool outage) { outage_ = outage; }
  int whole_answers() const { return whole_answers_; }
  int unchanged_answers() const { return unchanged_answers_; }

  // Replaces the list; readers see it once the lag has passed.
  void Replace(std::vector<platform::VmEntry> vms);

 private:
  static void OnRequest(evhtp_request* request, void* arg);
  void Handle(evhtp_request* request);
  void SendList(evhtp_request* request);

  EventLoop* loop_;
  Duration lag_;
  evhtp* server_ = nullptr;
  uint16_t port_ = 0;
  bool outage_ = false;
  int whole_answers_ = 0;
  int unchanged_answers_ = 0;
  std::vector<platform::VmEntry> visible_;
};

}  // namespace comfreystand::standins

#endif  // STANDINS_VM_LIST_H_
