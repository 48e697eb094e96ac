#ifndef COMFREYSTAND_MEMBER_H_
#define COMFREYSTAND_MEMBER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/base.h"
#include "comfreystand/limits.h"
#include "comfreystand/loop.h"
#include "comfreystand/peer.h"
#include "comfreystand/platform.h"
#include "comfreystand/rules.h"

// Cluster membership: heartbeats and failure detection between entry VMs,
// replication of the rule document and of the list of leaving backend servers,
// and the graceful stop of an entry VM.
namespace comfreystand::member {

// Hash of a name in the rule file. Nodes exchange names as hashes, since their
// rule files may differ.
struct NameKey {
  constexpr auto operator<=>(const NameKey&) const =
      default;  // NOLINT(modernize-use-nullptr)
  uint32_t value = 0;
};
NameKey MakeNameKey(std::string_view name);

enum class MemberState : uint8_t { kAlive, kLeaving, kDead };

// State of an entry VM in this node's view.
struct MemberInfo {
  NodeId node;
  Incarnation incarnation;
  // Empty until it is known.
  std::string address;
  NameKey site;
  MemberState state = MemberState::kAlive;
  // The member is in contact with the key-value store.
  bool store_contact = false;
  // False after several consecutive failed calls from this node, even while
  // other nodes report the member as alive.
  bool reachable = true;
  Fraction load;
};

// Mean load of the entry VMs of one site.
struct SiteLoad {
  NameKey site;
  Fraction load;
};

// Summary of one failure domain, this node's own or another one.
struct DomainInfo {
  NameKey domain;
  // False when the summary is older than limits::kSummaryTimeout.
  bool current = false;
  Duration age{0};
  std::vector<MemberInfo> members;
  std::vector<SiteLoad> loads;
};

enum class LeaveSource : uint8_t { kVmList, kBackend, kOperator };

// A backend server that receives no new requests.
struct LeavingBackend {
  std::string name;
  std::string address;
  LeaveSource source = LeaveSource::kVmList;
  // Time of the report.
  WallSeconds since;
};

// Address of a possible entry VM, from the VM list or the settings.
struct Contact {
  std::string address;
  NameKey domain;
};

// Provides the rule document in force; implemented by RuleReplicator.
class RuleDocumentSource {
 public:
  virtual ~RuleDocumentSource() = default;
  virtual RuleVersion Version() const = 0;
  virtual const std::string& Bytes() const = 0;
  virtual bool IsReady() const = 0;
  // Called with the version in force at the peer at `address`. `ready` is true
  // when the peer's rule document is up to date.
  virtual void OnPeerVersion(RuleVersion version,
                             const std::string& address,
                             bool ready) = 0;
};

struct MembershipInit {
  NodeId node;
  NameKey domain;
  NameKey site;
  std::string address;
  // Wall-clock seconds at the start of the process. Raised when peers know a
  // later incarnation of the node.
  Incarnation incarnation;
  uint64_t seed = 1;
  Duration period = limits::kHeartbeatPeriod;
  // Members that receive this node's digest in each period.
  int fanout = 2;
  // Members of a failure domain that exchange summaries with other failure
  // domains.
  int bridges = 2;
  // Other failure domains that a bridge contacts in each period.
  int bridge_fanout = 2;
};

struct MembershipStats {
  uint64_t calls = 0;
  uint64_t failed_calls = 0;
  // Records of an earlier incarnation than the known one.
  uint64_t stale_records = 0;
  // Members marked dead after limits::kMemberTimeout.
  uint64_t expired_members = 0;
  // Members that sent a heartbeat after they had expired, without a restart.
  uint64_t recovered_members = 0;
  // Pauses of this process or jumps of its clock.
  uint64_t pauses = 0;
};

// Gossips heartbeats within the failure domain and summaries between failure
// domains. Marks members dead when their heartbeats time out. Nodes with the
// same view compute the same rank for every member.
class Membership {
 public:
  Membership(const MembershipInit& init,
             Loop& loop,
             peer::Transport& transport);
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Set before Start(); must outlive this object.
  void SetRuleSource(RuleDocumentSource* source);
  void SetContacts(std::vector<Contact> contacts);
  void Start();

  // Answers a peer's message.
  void Handle(const wire::Envelope& request, wire::Envelope* reply);

  // Starts a gossip round before the next period is due.
  void GossipSoon();

  void SetStoreContact(bool contact);
  void SetLoad(Fraction load);
  // Announces this node's graceful stop.
  void AnnounceLeaving();

  // Adds a backend server to the leaving set and gossips it. Only the first
  // report is kept; it can't be revoked before limits::kLeavingRetention.
  void ReportLeaving(const LeavingBackend& backend);
  // Reports the leaving backend servers of the VM list. Entries that are live
  // don't remove a backend server from the leaving set.
  void ReportVmList(const std::vector<platform::VmEntry>& vms, WallSeconds now);
  bool IsLeaving(std::string_view name, std::string_view address) const;
  std::vector<LeavingBackend> LeavingBackends() const;
  // Called for every backend server that is added to the leaving set.
  void SetLeavingListener(std::function<void(const LeavingBackend&)> listener);
  // Removes entries older than limits::kLeavingRetention.
  void ExpireLeaving(WallSeconds now);

  // Members of the own failure domain, this node included.
  std::vector<MemberInfo> DomainMembers() const;
  std::vector<DomainInfo> Domains() const;
  // Rank of this node among the alive members of its failure domain, from 0.
  int OwnRank() const;
  // Alive members of the own failure domain in order of rank.
  std::vector<MemberInfo> MembersByRank() const;
  Incarnation OwnIncarnation() const;
  // A later incarnation of this node runs elsewhere; this process must stop.
  bool IsSuperseded() const;
  // At least one call to a peer has succeeded since the start.
  bool HasPeers() const;

  const MembershipStats& GetStats() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

enum class Readiness : uint8_t {
  // Waiting for the store and peers to answer.
  kStarting,
  kReady,
  // Serves only the rules that the settings provide.
  kLastResort,
  kNotReady,
};

struct RuleReplicatorInit {
  std::string rule_key = "comfreystand/rules";
  std::optional<RuleDocument> (*decode)(std::string_view bytes) =
      &DecodeRuleDocument;
  // The settings provide rules for when neither store nor peers do.
  bool has_last_resort = false;
  uint64_t seed = 1;
  // Time that a starting node waits for its peers to answer.
  Duration join_wait = std::chrono::seconds(3);
  // Store poll period in a failure domain without store contact.
  Duration poll_period = std::chrono::seconds(30);
  // Only members with a rank below this number watch the store.
  int watchers = 3;
  // Delay after which the watching node confirms a document's unconfirmed audit
  // entries.
  Duration audit_delay = std::chrono::seconds(10);
  // See platform::Acceptance::ConfirmAudit().
  std::function<void()> confirm_audit;
};

struct RuleReplicatorStats {
  uint64_t installs = 0;
  uint64_t from_peers = 0;
  // Received documents older than the one in force; they are not installed.
  uint64_t older_documents = 0;
  uint64_t bad_documents = 0;
  // Writes of the current document over an older or missing one in the store.
  uint64_t store_repairs = 0;
  // Documents with the version in force and a different text.
  uint64_t version_conflicts = 0;
  uint64_t pulls = 0;
};

struct RuleReplicatorStatus {
  Readiness readiness = Readiness::kStarting;
  std::string reason;
  RuleVersion version;
  // Highest version seen in the store or reported by a peer.
  RuleVersion highest_seen;
  bool watching = false;
  // Time since the store, or a ready peer, last confirmed the version.
  Duration age{0};
};

// Keeps the newest accepted rule document in force on this node. The
// highest-ranked members watch the store; other nodes pull from peers.
class RuleReplicator final : public RuleDocumentSource {
 public:
  using Listener = std::function<void(const RuleDocument& document)>;

  RuleReplicator(const RuleReplicatorInit& init,
                 Loop& loop,
                 platform::KeyValueStore& store,
                 peer::Transport& transport,
                 Membership& membership);
  ~RuleReplicator() override;
  RuleReplicator(const RuleReplicator&) = delete;
  RuleReplicator& operator=(const RuleReplicator&) = delete;

  // Called on the loop for every installed document.
  void SetListener(Listener listener);
  void Start();

  // Reads the store now.
  void ReadStore();

  // Adds the document of a change that this node's platform::Acceptance has
  // committed, so that it reaches peers even if the store fails right after.
  void AddAcceptedDocument(const std::string& bytes);

  const RuleDocument& Document() const;
  RuleReplicatorStatus GetStatus() const;
  const RuleReplicatorStats& GetStats() const;

  RuleVersion Version() const override;
  const std::string& Bytes() const override;
  bool IsReady() const override;
  void OnPeerVersion(RuleVersion version,
                     const std::string& address,
                     bool ready) override;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// Steps of an entry VM's graceful stop, in order.
enum class StopPhase : uint8_t {
  kRunning,
  // Look-ups no longer return this entry VM; callers still use cached answers.
  kWithdrawn,
  // Cached answers have expired. Waits for the requests in flight.
  kFinishing,
  // Returns the grants and flushes the hour ledger.
  kHandingBack,
  kDone,
};

std::string_view ToString(StopPhase phase);

struct GracefulStopInit {
  // Maximum time that callers cache a look-up answer.
  Duration answer_ttl = std::chrono::seconds(10);
  // Added to the TTL to cover clock differences and answers in transit.
  Duration margin = std::chrono::seconds(2);
  // Time limits of kFinishing and kHandingBack.
  Duration finish_limit = std::chrono::seconds(60);
  Duration hand_back_limit = std::chrono::seconds(10);
};

// Work that remains before the node can stop.
struct StopProgress {
  int requests_in_flight = 0;
  // Requests have arrived recently, so callers may still use this entry VM.
  bool requests_arriving = false;
  int grants_held = 0;
  bool hours_flushed = false;
};

// State machine that decides when a stopping entry VM enters its next phase.
class GracefulStop {
 public:
  explicit GracefulStop(const GracefulStopInit& init = {}) : init_(init) {}

  void Begin(TimePoint now);
  // Enters the next phase if the progress or a time limit allows it. Returns
  // the phase.
  StopPhase Step(TimePoint now, const StopProgress& progress);

  StopPhase Phase() const { return phase_; }
  // Look-ups may return this entry VM.
  bool IsAdvertised() const { return phase_ == StopPhase::kRunning; }
  // New requests are still accepted, since cached answers name this entry VM.
  bool AcceptsRequests() const { return phase_ <= StopPhase::kFinishing; }
  // Requests that were still in flight when finish_limit was reached.
  int UnfinishedRequests() const { return unfinished_requests_; }

 private:
  void EnterPhase(StopPhase phase, TimePoint now);

  GracefulStopInit init_;
  StopPhase phase_ = StopPhase::kRunning;
  TimePoint phase_started_{};
  int unfinished_requests_ = 0;
};

}  // namespace comfreystand::member

#endif  // COMFREYSTAND_MEMBER_H_
