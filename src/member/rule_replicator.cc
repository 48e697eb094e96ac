#include <utility>

#include "src/member/rule_replicator_impl.h"

namespace comfreystand::member {

RuleReplicator::RuleReplicator(const RuleReplicatorInit& init,
                               Loop& loop,
                               platform::KeyValueStore& store,
                               peer::Transport& transport,
                               Membership& membership)
    : impl_(std::make_shared<Impl>(init, loop, store, transport, membership)) {
  membership.SetRuleSource(this);
}

RuleReplicator::~RuleReplicator() = default;

void RuleReplicator::SetListener(Listener listener) {
  impl_->listener = std::move(listener);
}

void RuleReplicator::Start() {
  impl_->Start();
}

void RuleReplicator::ReadStore() {
  impl_->Read();
}

void RuleReplicator::AddAcceptedDocument(const std::string& bytes) {
  impl_->AddAcceptedDocument(bytes);
}

const RuleDocument& RuleReplicator::Document() const {
  return impl_->document;
}

RuleReplicatorStatus RuleReplicator::GetStatus() const {
  return impl_->Status();
}

const RuleReplicatorStats& RuleReplicator::GetStats() const {
  return impl_->stats;
}

RuleVersion RuleReplicator::Version() const {
  return impl_->document.version;
}

const std::string& RuleReplicator::Bytes() const {
  return impl_->bytes;
}

bool RuleReplicator::IsReady() const {
  return impl_->ready;
}

void RuleReplicator::OnPeerVersion(RuleVersion version,
                                   const std::string& address,
                                   bool ready) {
  impl_->HandlePeerVersion(version, address, ready);
}

}  // namespace comfreystand::member
