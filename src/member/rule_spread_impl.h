#ifndef COMFREYSTAND_SRC_MEMBER_RULE_SPREAD_IMPL_H_
#define COMFREYSTAND_SRC_MEMBER_RULE_SPREAD_IMPL_H_

#include <memory>
#include <pcg_random.hpp>
#include <string>

#include "comfreystand/member.h"

namespace comfreystand::member {

// Store calls, pulls and state of RuleSpread.
class RuleSpread::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const RuleSpreadInit& init,
       Loop& loop,
       platform::KeyValueStore& store,
       peer::Transport& transport,
       Membership& membership)
      : init_(init),
        loop_(loop),
        store_(store),
        transport_(transport),
        membership_(membership),
        random_(init.seed) {}

  void Start();
  void Read();
  void OfferAccepted(const std::string& accepted) { Offer(accepted, nullptr); }
  void PeerVersion(RuleVersion version, const std::string& address, bool ready);
  RuleSpreadStatus Status() const;

  Listener listener;
  RuleDocument document;
  std::string bytes;
  RuleSpreadStats stats;
  bool ready = false;

 private:
  void Step();
  bool ShouldWatch() const;
  bool DomainHasContact() const;
  void Watch();
  // Returns the callback of one store call.
  platform::ReadCallback OnStore();
  void TakeStoreEntry(platform::StoreStatus status,
                      const platform::StoreEntry& entry);
  void Offer(const std::string& offered, const platform::StoreEntry* entry);
  void Install(RuleDocument offered, const std::string& offered_bytes);
  void Repair(platform::Revision revision);
  void CompleteAudit();
  void JudgeReadiness();
  void SetContact(bool contact);
  void Backoff();
  Duration Jitter(Duration around);

  RuleSpreadInit init_;
  Loop& loop_;
  platform::KeyValueStore& store_;
  peer::Transport& transport_;
  Membership& membership_;
  pcg32 random_;

  RuleVersion highest_seen_;
  platform::Revision revision_;
  TimePoint started_{};
  TimePoint last_fresh_{};
  TimePoint last_contact_{};
  TimePoint call_started_{};
  TimePoint next_call_{};
  TimePoint next_poll_{};
  TimePoint pull_started_{};
  TimePoint installed_{};
  RuleVersion audited_;
  Duration backoff_ = std::chrono::milliseconds(500);
  uint64_t call_ = 0;
  bool call_open_ = false;
  bool in_contact_ = false;
  bool pull_open_ = false;
  bool store_answered_ = false;
  bool store_empty_ = false;
  bool ready_peer_answered_ = false;
};

}  // namespace comfreystand::member

#endif  // COMFREYSTAND_SRC_MEMBER_RULE_SPREAD_IMPL_H_
