#ifndef SOAK_LEDGER_H_
#define SOAK_LEDGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "comfreystand/base.h"
#include "comfreystand/http_client.h"

// What callers asked and got, and what that must never be.
namespace comfreystand::soak {

struct Call {
  std::string id;
  bool idempotent = true;
  // Bytes of the answer's body if it is served; negative when unknown.
  int64_t body_bytes = -1;
  size_t gateway = 0;
  TimePoint sent;
  TimePoint ended{};
  http::Outcome outcome = http::Outcome::kNotSent;
  int status = 0;
};

class Ledger {
 public:
  void Sent(const Call& call) { open_[call.id] = call; }
  // Notes an answer and checks that it belongs to the call. `excused` tells
  // that the gateway was killed or stopped meanwhile.
  void Ended(const std::string& id,
             const http::Response& response,
             TimePoint now,
             bool excused);
  void Broken(std::string what) { broken_.push_back(std::move(what)); }

  // Checks how often each request was run. `runs` counts the runs of an id.
  void CheckRuns(const std::function<int(const std::string& id)>& runs);

  size_t calls() const { return ended_.size(); }
  size_t served() const { return served_; }
  size_t refused() const { return refused_; }
  const std::vector<std::string>& broken() const { return broken_; }

 private:
  std::map<std::string, Call> open_;
  std::vector<Call> ended_;
  size_t served_ = 0;
  size_t refused_ = 0;
  std::vector<std::string> broken_;
};

}  // namespace comfreystand::soak

#endif  // SOAK_LEDGER_H_
