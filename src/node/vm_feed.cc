#include "src/node/vm_feed.h"

#include <utility>

#include "src/node/vm_codec.h"

namespace comfreystand::node {
namespace {

using platform::StoreStatus;
using platform::VmEntry;

// Unanswered polls after which a node asks the platform itself.
constexpr int kMaxUnanswered = 2;

}  // namespace

VmFeed::VmFeed(platform::VmList* list,
               peer::Transport* transport,
               Listener listener)
    : list_(list), transport_(transport), listener_(std::move(listener)) {}

void VmFeed::Poll(const std::vector<std::string>& ranked,
                  const std::vector<std::string>& others) {
  const bool is_first = ranked.empty() || ranked.front().empty();
  if (!is_first && unanswered_ < kMaxUnanswered) {
    ++unanswered_;
    AskPeer(ranked.front());
    return;
  }
  std::vector<std::string> fallback = ranked;
  fallback.insert(fallback.end(), others.begin(), others.end());
  std::erase(fallback, std::string());
  AskPlatform(fallback);
}

void VmFeed::AskPlatform(const std::vector<std::string>& fallback) {
  list_->Fetch([this, alive = std::weak_ptr<bool>(alive_), fallback](
                   StoreStatus status, const std::vector<VmEntry>& vms) {
    if (alive.expired())
      return;
    if (status == StoreStatus::kOk) {
      unanswered_ = 0;
      Take(vms, EncodeVmList(vms));
    } else if (!HasList() && !fallback.empty()) {
      AskPeer(fallback[next_fallback_++ % fallback.size()]);
    }
  });
}

void VmFeed::AskPeer(const std::string& address) {
  wire::Envelope request;
  request.mutable_vm_list()->set_ask(true);
  request.mutable_vm_list()->set_hash(hash_);
  transport_->Call(address, request,
                   [this, alive = std::weak_ptr<bool>(alive_)](
                       bool ok, const wire::Envelope& reply) {
                     if (alive.expired() || !ok || !reply.has_vm_list() ||
                         reply.vm_list().hash() == 0)
                       return;
                     unanswered_ = 0;
                     std::vector<VmEntry> vms;
                     const std::string& bytes = reply.vm_list().list();
                     if (!bytes.empty() && DecodeVmList(bytes, &vms))
                       Take(vms, bytes);
                   });
}

void VmFeed::Take(const std::vector<VmEntry>& vms, std::string bytes) {
  const uint64_t hash = StableHash(bytes);
  if (hash == hash_)
    return;
  hash_ = hash;
  bytes_ = std::move(bytes);
  listener_(vms);
}

void VmFeed::Handle(const wire::Envelope& request,
                    wire::Envelope* reply) const {
  if (!request.vm_list().ask())
    return;
  reply->mutable_vm_list()->set_hash(hash_);
  if (HasList() && request.vm_list().hash() != hash_)
    reply->mutable_vm_list()->set_list(bytes_);
}

}  // namespace comfreystand::node
