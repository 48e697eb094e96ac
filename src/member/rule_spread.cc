#include <utility>

#include "src/member/rule_spread_impl.h"

namespace comfreystand::member {

RuleSpread::RuleSpread(const RuleSpreadInit& init,
                       Loop& loop,
                       platform::KeyValueStore& store,
                       peer::Transport& transport,
                       Membership& membership)
    : impl_(std::make_shared<Impl>(init, loop, store, transport, membership)) {
  membership.SetRuleCarrier(this);
}

RuleSpread::~RuleSpread() = default;

void RuleSpread::SetListener(Listener listener) {
  impl_->listener = std::move(listener);
}

void RuleSpread::Start() {
  impl_->Start();
}

void RuleSpread::ReadStore() {
  impl_->Read();
}

void RuleSpread::OfferAccepted(const std::string& bytes) {
  impl_->OfferAccepted(bytes);
}

const RuleDocument& RuleSpread::Document() const {
  return impl_->document;
}

RuleSpreadStatus RuleSpread::GetStatus() const {
  return impl_->Status();
}

const RuleSpreadStats& RuleSpread::GetStats() const {
  return impl_->stats;
}

RuleVersion RuleSpread::Version() const {
  return impl_->document.version;
}

const std::string& RuleSpread::Bytes() const {
  return impl_->bytes;
}

bool RuleSpread::IsReady() const {
  return impl_->ready;
}

void RuleSpread::OnPeerVersion(RuleVersion version,
                               const std::string& address,
                               bool ready) {
  impl_->PeerVersion(version, address, ready);
}

}  // namespace comfreystand::member
