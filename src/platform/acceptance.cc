#include "comfreystand/acceptance.h"

#include <utility>

#include "src/platform/acceptance_impl.h"

namespace comfreystand::platform {
namespace {

AcceptResult InvalidResult(std::vector<RuleError> errors) {
  AcceptResult result;
  result.status = AcceptStatus::kInvalid;
  result.errors = std::move(errors);
  return result;
}

}  // namespace

std::string_view ToString(AcceptStatus status) {
  switch (status) {
    case AcceptStatus::kAccepted:
      return "accepted";
    case AcceptStatus::kConflict:
      return "conflict";
    case AcceptStatus::kInvalid:
      return "invalid";
    case AcceptStatus::kTooLarge:
      return "too-large";
    case AcceptStatus::kUnavailable:
      return "unavailable";
    case AcceptStatus::kUnresolved:
      return "unresolved";
    case AcceptStatus::kDamaged:
      return "damaged";
  }
  return "unresolved";
}

Acceptance::Acceptance(const AcceptanceInit& init,
                       Loop& loop,
                       KeyValueStore& store)
    : impl_(std::make_shared<Impl>(init, loop, store)) {}

Acceptance::~Acceptance() = default;

void Acceptance::Propose(const ChangeOrigin& origin,
                         std::string text,
                         AcceptCallback done) {
  std::vector<RuleError> errors = impl_->Codec().parse(text).errors;
  if (!errors.empty()) {
    impl_->PostResult(InvalidResult(std::move(errors)), std::move(done));
    return;
  }
  impl_->Start(origin, ReplaceText(std::move(text)), std::move(done));
}

void Acceptance::Settle(const ChangeOrigin& origin, AcceptCallback done) {
  impl_->Start(origin, SettleCurrent(), std::move(done));
}

void Acceptance::Halt(const ChangeOrigin& origin, AcceptCallback done) {
  impl_->Start(origin, HaltCurrent(), std::move(done));
}

void Acceptance::TakeBack(const ChangeOrigin& origin, AcceptCallback done) {
  impl_->Start(origin, TakeBackCurrent(), std::move(done));
}

void Acceptance::ConfirmAudit(std::function<void(StoreStatus status)> done) {
  impl_->ConfirmAudit(std::move(done));
}

void Acceptance::ReadHistory(RuleVersion after,
                             size_t count,
                             HistoryCallback done) {
  impl_->ReadHistory(after, count, std::move(done));
}

const AcceptanceStats& Acceptance::GetStats() const {
  return impl_->Stats();
}

}  // namespace comfreystand::platform
