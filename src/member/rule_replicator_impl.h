#ifndef COMFREYSTAND_SRC_MEMBER_RULE_REPLICATOR_IMPL_H_
#define COMFREYSTAND_SRC_MEMBER_RULE_REPLICATOR_IMPL_H_

#include <memory>
#include <pcg_random.hpp>
#include <string>

#include "comfreystand/member.h"

namespace comfreystand::member {

// Implementation of RuleReplicator: store calls, pulls from peers and state.
class RuleReplicator::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const RuleReplicatorInit& init,
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
  void AddAcceptedDocument(const std::string& accepted) {
    ProcessDocument(accepted, nullptr);
  }
  void HandlePeerVersion(RuleVersion version,
                         const std::string& address,
                         bool ready);
  RuleReplicatorStatus Status() const;

  Listener listener;
  RuleDocument document;
  std::string bytes;
  RuleReplicatorStats stats;
  bool ready = false;

 private:
  // Runs periodically: detects lost store calls, watches or polls the store,
  // and confirms audit entries.
  void Step();
  // Returns true when this node is among the highest-ranked members and no
  // member with a higher rank is in contact with the store.
  bool ShouldWatch() const;
  // Returns true when an alive member of the failure domain is in contact with
  // the store.
  bool DomainHasContact() const;
  void Watch();
  // Registers a store call as pending and returns its callback.
  platform::ReadCallback MakeStoreCallback();
  void ProcessStoreEntry(platform::StoreStatus status,
                         const platform::StoreEntry& entry);
  // Installs the document if it is newer than the one in force. `entry` is null
  // when it comes from a peer.
  void ProcessDocument(const std::string& candidate,
                       const platform::StoreEntry* entry);
  void Install(RuleDocument candidate, const std::string& candidate_bytes);
  // Writes the document in force to the store if it is still at `revision`.
  void RepairStore(platform::Revision revision);
  void ConfirmAudit();
  void UpdateReadiness();
  void SetStoreContact(bool contact);
  // Reports that store contact is lost and delays the next store call.
  void StartBackoff();
  Duration Jitter(Duration mean);

  RuleReplicatorInit init_;
  Loop& loop_;
  platform::KeyValueStore& store_;
  peer::Transport& transport_;
  Membership& membership_;
  pcg32 random_;

  RuleVersion highest_seen_;
  platform::Revision revision_;
  TimePoint started_at_{};
  // Time at which the store, or a ready peer, last confirmed the version.
  TimePoint last_confirmed_{};
  // Time at which the failure domain last had store contact.
  TimePoint last_domain_contact_{};
  TimePoint call_started_at_{};
  TimePoint next_call_{};
  TimePoint next_poll_{};
  TimePoint pull_started_at_{};
  TimePoint installed_at_{};
  // Version whose audit entries this node has started to confirm.
  RuleVersion audit_attempted_version_;
  Duration backoff_ = std::chrono::milliseconds(500);
  // Number of the latest store call. Callbacks of earlier calls do not end it.
  uint64_t latest_call_ = 0;
  bool call_pending_ = false;
  bool has_store_contact_ = false;
  bool pull_pending_ = false;
  bool store_answered_ = false;
  bool store_empty_ = false;
  bool ready_peer_answered_ = false;
};

}  // namespace comfreystand::member

#endif  // COMFREYSTAND_SRC_MEMBER_RULE_REPLICATOR_IMPL_H_
