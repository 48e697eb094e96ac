#ifndef COMFREYSTAND_SRC_STEER_RETRY_QUANTILE_H_
#define COMFREYSTAND_SRC_STEER_RETRY_QUANTILE_H_

#include <algorithm>

namespace comfreystand::steer {

// Estimates one quantile of a stream of positive values by stochastic
// approximation, without storing the values.
class QuantileEstimate {
 public:
  explicit QuantileEstimate(double quantile) : quantile_(quantile) {}

  void Observe(double value) {
    const double step = value > value_ ? quantile_ : quantile_ - 1;
    value_ = std::clamp(value_ * (1 + kStep * step), kMinValue, kMaxValue);
  }

  double Get() const { return value_; }

 private:
  static constexpr double kStep = 0.05;
  static constexpr double kMinValue = 1;
  static constexpr double kMaxValue = 20;

  double quantile_;
  double value_ = 3;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_RETRY_QUANTILE_H_
