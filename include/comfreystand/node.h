#ifndef COMFREYSTAND_NODE_H_
#define COMFREYSTAND_NODE_H_

#include <functional>
#include <memory>
#include <string>

#include "comfreystand/event_loop.h"
#include "comfreystand/settings.h"

// The entry VM process, which connects all libraries on one event loop.
namespace comfreystand::node {

// One entry VM: serves callers and look-ups, takes part in membership, rule
// replication and slot grants, and offers administration and metrics.
class Node {
 public:
  // Opens the listeners and joins the other entry VMs. Returns null and sets
  // `error` when an address can't be used, or when the TLS files for peers, the
  // block table or the administration files can't be read.
  static std::unique_ptr<Node> Create(EventLoop* loop,
                                      const NodeSettings& settings,
                                      std::string* error);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Begins a graceful stop; `done` runs once the stop is complete. A second
  // call has no effect.
  void BeginStop(std::function<void()> done);

 private:
  class Impl;
  explicit Node(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace comfreystand::node

#endif  // COMFREYSTAND_NODE_H_
