#ifndef COMFREYSTAND_NODE_H_
#define COMFREYSTAND_NODE_H_

#include <functional>
#include <memory>
#include <string>

#include "comfreystand/event_loop.h"
#include "comfreystand/settings.h"

// The process of an entry VM: all libraries wired together on one loop.
namespace comfreystand::node {

class Node {
 public:
  // Starts listening and joining. Returns nothing and sets `error` when an
  // address can't be used or key material can't be read.
  static std::unique_ptr<Node> Create(EventLoop* loop,
                                      const NodeSettings& settings,
                                      std::string* error);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Begins a graceful stop; `done` runs once nothing is left to do. A second
  // call has no effect.
  void BeginStop(std::function<void()> done);

 private:
  class Impl;
  explicit Node(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace comfreystand::node

#endif  // COMFREYSTAND_NODE_H_
