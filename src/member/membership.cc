#include <utility>

#include "src/member/membership_impl.h"

namespace comfreystand::member {

Membership::Membership(const MembershipInit& init,
                       Loop& loop,
                       peer::Transport& transport)
    : impl_(std::make_shared<Impl>(init, loop, transport)) {}

Membership::~Membership() = default;

void Membership::SetRuleSource(RuleDocumentSource* rule_source) {
  impl_->rule_source = rule_source;
}

void Membership::SetContacts(std::vector<Contact> contacts) {
  impl_->SetContacts(std::move(contacts));
}

void Membership::Start() {
  impl_->Start();
}

void Membership::Handle(const wire::Envelope& request, wire::Envelope* reply) {
  impl_->Handle(request, reply);
}

void Membership::GossipSoon() {
  impl_->GossipSoon();
}

void Membership::SetStoreContact(bool contact) {
  impl_->self.info.store_contact = contact;
}

void Membership::SetLoad(Fraction load) {
  impl_->self.info.load = load;
}

void Membership::AnnounceLeaving() {
  impl_->self.info.state = MemberState::kLeaving;
  impl_->GossipSoon();
}

void Membership::ReportLeaving(const LeavingBackend& backend) {
  impl_->AddLeaving(backend);
}

void Membership::ReportVmList(const std::vector<platform::VmEntry>& vms,
                              WallSeconds now) {
  for (const platform::VmEntry& vm : vms) {
    if (vm.role == platform::VmEntry::Role::kBackend &&
        vm.state == platform::VmEntry::State::kLeaving) {
      impl_->AddLeaving({vm.name, vm.address, LeaveSource::kVmList, now});
    }
  }
}

bool Membership::IsLeaving(std::string_view name,
                           std::string_view address) const {
  return impl_->leaving.Contains(name, address);
}

std::vector<LeavingBackend> Membership::LeavingBackends() const {
  return impl_->leaving.All();
}

void Membership::SetLeavingListener(
    std::function<void(const LeavingBackend&)> listener) {
  impl_->leaving_listener = std::move(listener);
}

void Membership::ExpireLeaving(WallSeconds now) {
  impl_->leaving.Expire(now);
}

std::vector<MemberInfo> Membership::DomainMembers() const {
  return impl_->DomainMembers();
}

std::vector<DomainInfo> Membership::Domains() const {
  return impl_->Domains();
}

int Membership::OwnRank() const {
  return impl_->OwnRank();
}

std::vector<MemberInfo> Membership::MembersByRank() const {
  return impl_->MembersByRank();
}

Incarnation Membership::OwnIncarnation() const {
  return impl_->self.info.incarnation;
}

bool Membership::IsSuperseded() const {
  return impl_->superseded;
}

bool Membership::HasPeers() const {
  return impl_->has_peers;
}

const MembershipStats& Membership::GetStats() const {
  return impl_->stats;
}

}  // namespace comfreystand::member
