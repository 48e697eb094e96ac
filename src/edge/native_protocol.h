#ifndef COMFREYSTAND_SRC_EDGE_NATIVE_PROTOCOL_H_
#define COMFREYSTAND_SRC_EDGE_NATIVE_PROTOCOL_H_

#include <string>
#include <utility>
#include <vector>

#include "comfreystand/edge.h"

namespace comfreystand::edge {

// The native interface: requests to "/v1/s/SERVICE/PATH" with Comfreystand-*
// headers for class and deadline, answered with a verdict header.
class NativeProtocol final : public RelayProtocol {
 public:
  NativeProtocol(Duration max_deadline, size_t max_body_bytes)
      : max_deadline_(max_deadline), max_body_bytes_(max_body_bytes) {}

  void SetTables(std::vector<ServiceName> services,
                 std::vector<ClassName> classes) {
    services_ = std::move(services);
    classes_ = std::move(classes);
  }

  bool ReadRequest(const RequestHead& head,
                   TimePoint now,
                   RelayRequest* out,
                   Refusal* refusal) const override;
  bool Recheck(const RelayRequest&, Refusal*) const override { return true; }
  std::string FormatRefusal(const Refusal& refusal,
                            const RelayRequest* request,
                            bool keep_alive) const override;
  Refusal RefusalFor(const steer::Action& action) const override;
  bool ForwardsAnswerHeader(std::string_view name) const override;
  void AppendAnswerHeaders(RunVerdict verdict,
                           std::string* head) const override;
  void AppendAttemptHeaders(const RelayRequest& request,
                            const AttemptInfo& attempt,
                            std::string* head) const override;
  AnswerInfo ReadAnswer(const AnswerHead& head,
                        const AttemptInfo& attempt) const override;
  steer::ProbeReport ReadHealth(const AnswerHead& head,
                                const std::string& backend_name) const override;
  bool CancelsByRequest() const override { return true; }
  size_t MaxBufferedAnswerBytes() const override { return 0; }

 private:
  bool ReadTarget(const RequestHead& head, RelayRequest* out) const;
  bool ReadClass(const RequestHead& head,
                 RelayRequest* out,
                 Duration* default_deadline) const;
  bool ReadDeadline(const RequestHead& head,
                    Duration default_deadline,
                    RelayRequest* out,
                    Refusal* refusal) const;

  const Duration max_deadline_;
  const size_t max_body_bytes_;
  std::vector<ServiceName> services_;
  std::vector<ClassName> classes_;
};

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_NATIVE_PROTOCOL_H_
