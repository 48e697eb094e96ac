#include "src/node/vm_feed.h"

#include <utility>

#include "src/node/vm_codec.h"

namespace comfreystand::node {
namespace {

using platform::StoreStatus;
using platform::VmEntry;

// Unanswered polls after which a node fetches the list from the platform
// itself.
constexpr int kMaxUnansweredPolls = 2;

}  // namespace

VmFeed::VmFeed(platform::VmList* list,
               peer::Transport* transport,
               Listener listener)
    : list_(list), transport_(transport), listener_(std::move(listener)) {}

void VmFeed::Poll(const std::vector<std::string>& ranked,
                  const std::vector<std::string>& others) {
  const bool is_top_ranked = ranked.empty() || ranked.front().empty();
  if (!is_top_ranked && unanswered_polls_ < kMaxUnansweredPolls) {
    ++unanswered_polls_;
    FetchFromPeer(ranked.front());
    return;
  }
  std::vector<std::string> fallback = ranked;
  fallback.insert(fallback.end(), others.begin(), others.end());
  std::erase(fallback, std::string());
  FetchFromPlatform(fallback);
}

void VmFeed::FetchFromPlatform(const std::vector<std::string>& fallback) {
  list_->Fetch([this, alive = std::weak_ptr<bool>(alive_), fallback](
                   StoreStatus status, const std::vector<VmEntry>& vms) {
    if (alive.expired())
      return;
    if (status == StoreStatus::kOk) {
      unanswered_polls_ = 0;
      SetList(vms, EncodeVmList(vms));
    } else if (!HasList() && !fallback.empty()) {
      FetchFromPeer(fallback[next_fallback_++ % fallback.size()]);
    }
  });
}

void VmFeed::FetchFromPeer(const std::string& address) {
  wire::Envelope request;
  request.mutable_vm_list()->set_ask(true);
  request.mutable_vm_list()->set_hash(hash_);
  transport_->Call(address, request,
                   [this, alive = std::weak_ptr<bool>(alive_)](
                       bool ok, const wire::Envelope& reply) {
                     if (alive.expired() || !ok || !reply.has_vm_list() ||
                         reply.vm_list().hash() == 0)
                       return;
                     unanswered_polls_ = 0;
                     std::vector<VmEntry> vms;
                     const std::string& encoded = reply.vm_list().list();
                     if (!encoded.empty() && DecodeVmList(encoded, &vms))
                       SetList(vms, encoded);
                   });
}

void VmFeed::SetList(const std::vector<VmEntry>& vms, std::string encoded) {
  const uint64_t hash = StableHash(encoded);
  if (hash == hash_)
    return;
  hash_ = hash;
  encoded_list_ = std::move(encoded);
  listener_(vms);
}

void VmFeed::Handle(const wire::Envelope& request,
                    wire::Envelope* reply) const {
  if (!request.vm_list().ask())
    return;
  reply->mutable_vm_list()->set_hash(hash_);
  if (HasList() && request.vm_list().hash() != hash_)
    reply->mutable_vm_list()->set_list(encoded_list_);
}

}  // namespace comfreystand::node
