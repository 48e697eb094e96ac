#ifndef COMFREYSTAND_SRC_STEER_RETRY_BUDGET_H_
#define COMFREYSTAND_SRC_STEER_RETRY_BUDGET_H_

#include <algorithm>

namespace comfreystand::steer {

// Bounds extra attempts to a fraction of the requests submitted plus a burst.
// Every node keeps its own, so that the sum over nodes is a fraction of all
// requests.
class RetryBudget {
 public:
  RetryBudget(double ratio, double burst) : ratio_(ratio), burst_(burst) {}

  void OnRequest() { tokens_ = std::min(burst_, tokens_ + ratio_); }

  // Takes one extra attempt. Returns false when the budget is used up.
  bool Take() {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  // Changes what unused attempts the budget keeps.
  void SetBurst(double burst) {
    burst_ = burst;
    tokens_ = std::min(tokens_, burst);
  }

  double Available() const { return tokens_; }

 private:
  double ratio_;
  double burst_;
  // A new node starts with part of the burst, so that restarts add little.
  double tokens_ = std::min(burst_, 5.0);
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_RETRY_BUDGET_H_
