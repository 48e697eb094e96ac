#ifndef COMFREYSTAND_SRC_QUOTA_SECONDS_H_
#define COMFREYSTAND_SRC_QUOTA_SECONDS_H_

#include <chrono>

#include "comfreystand/base.h"

namespace comfreystand::quota {

inline double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace comfreystand::quota

#endif  // COMFREYSTAND_SRC_QUOTA_SECONDS_H_
