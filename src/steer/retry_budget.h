#ifndef COMFREYSTAND_SRC_STEER_RETRY_BUDGET_H_
#define COMFREYSTAND_SRC_STEER_RETRY_BUDGET_H_

#include <algorithm>

namespace comfreystand::steer {

// Limits additional attempts to a fraction of the submitted requests plus a
// burst. Each node has its own budget, so the fraction holds for the sum of all
// nodes too.
class RetryBudget {
 public:
  RetryBudget(double ratio, double burst) : ratio_(ratio), burst_(burst) {}

  void OnRequest() { tokens_ = std::min(burst_, tokens_ + ratio_); }

  // Consumes the token for one additional attempt. Returns false when none is
  // left.
  bool TryConsume() {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  // Sets the maximum number of tokens.
  void SetBurst(double burst) {
    burst_ = burst;
    tokens_ = std::min(tokens_, burst);
  }

  double Available() const { return tokens_; }

 private:
  double ratio_;
  double burst_;
  // A new node starts with part of the burst, so that restarts of nodes add few
  // attempts.
  double tokens_ = std::min(burst_, 5.0);
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_RETRY_BUDGET_H_
