#ifndef COMFREYSTAND_ADMISSION_GATE_H_
#define COMFREYSTAND_ADMISSION_GATE_H_

#include <cstdint>
#include <functional>

#include "comfreystand/base.h"
#include "comfreystand/relay_protocol.h"

namespace comfreystand::edge {

// Decides whether a request may be submitted to the dispatcher, for example
// within the quota of its organisation.
class AdmissionGate {
 public:
  enum class Verdict : uint8_t { kAdmitted, kRefused, kWaiting };
  struct Answer {
    Verdict verdict = Verdict::kAdmitted;
    // When refused: time until a request may be admitted.
    Duration retry_after{0};
    // When waiting: identifies the request in Cancel().
    uint64_t ticket = 0;
  };
  using Callback = std::function<void(const Answer& answer)>;

  virtual ~AdmissionGate() = default;
  // `done` is called later, once, when the request has to wait.
  virtual Answer Admit(const RelayRequest& request, Callback done) = 0;
  // The request no longer waits; its callback is not called.
  virtual void Cancel(const RelayRequest& request, uint64_t ticket) = 0;
  // An admitted request has not run and will not.
  virtual void OnNotRun(const RelayRequest& request) = 0;
};

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_ADMISSION_GATE_H_
