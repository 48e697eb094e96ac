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

// The live view of the fleet, the spread of rule documents and leaving backend
// servers, and the graceful stop of an entry VM.
namespace comfreystand::member {

// Hash of a name of the rule file, as it goes between nodes whose rule files
// may differ.
struct NameKey {
  constexpr auto operator<=>(const NameKey&) const =
      default;  // NOLINT(modernize-use-nullptr)
  uint32_t value = 0;
};
NameKey MakeNameKey(std::string_view name);

enum class MemberState : uint8_t { kAlive, kLeaving, kDead };

// An entry VM as this node sees it.
struct MemberInfo {
  NodeId node;
  Incarnation incarnation;
  // Empty until it is known.
  std::string address;
  NameKey site;
  MemberState state = MemberState::kAlive;
  // The member is in contact with the key-value store.
  bool store_contact = false;
  // False after several failed calls from here, whatever others say of it.
  bool reachable = true;
  Fraction load;
};

struct SiteLoad {
  NameKey site;
  Fraction load;
};

// Another failure domain, or the own one, in summary.
struct DomainInfo {
  NameKey domain;
  // False when its summary is too old to act upon.
  bool current = false;
  Duration age{0};
  std::vector<MemberInfo> members;
  std::vector<SiteLoad> loads;
};

enum class LeaveSource : uint8_t { kVmList, kBackend, kOperator };

// A backend server that gets no new work any more.
struct LeavingBackend {
  std::string name;
  std::string address;
  LeaveSource source = LeaveSource::kVmList;
  WallSeconds since;
};

// An address where an entry VM may answer, from the VM list or the settings.
struct Contact {
  std::string address;
  NameKey domain;
};

// Holder of the rule document in force; see RuleSpread.
class RuleCarrier {
 public:
  virtual ~RuleCarrier() = default;
  virtual RuleVersion Version() const = 0;
  virtual const std::string& Bytes() const = 0;
  virtual bool IsReady() const = 0;
  // A peer has told the version that it has in force.
  virtual void OnPeerVersion(RuleVersion version,
                             const std::string& address,
                             bool ready) = 0;
};

struct MembershipInit {
  NodeId node;
  NameKey domain;
  NameKey site;
  std::string address;
  // Seconds of the wall clock at the start of the process. Corrected upwards
  // when peers remember a later life of the node.
  Incarnation incarnation;
  uint64_t seed = 1;
  Duration period = limits::kHeartbeatPeriod;
  // Members that each period's digest goes to.
  int fanout = 2;
  // Members of a failure domain that talk to other ones.
  int bridges = 2;
  // Other failure domains that a bridge asks in each period.
  int bridge_fanout = 2;
};

struct MembershipStats {
  uint64_t calls = 0;
  uint64_t failed_calls = 0;
  // Records of an earlier life, or older than what is known.
  uint64_t stale_records = 0;
  uint64_t deaths = 0;
  // Members that were thought dead and turned out alive in the same life.
  uint64_t revivals = 0;
  // Pauses of this process or jumps of its clock.
  uint64_t pauses = 0;
};

// Heartbeats within the failure domain, summaries across. Decides who is alive
// from what it hears; the rank of a member is the same on all nodes with the
// same view.
class Membership {
 public:
  Membership(const MembershipInit& init,
             Loop& loop,
             peer::Transport& transport);
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Set before Start(); must outlive this object.
  void SetRuleCarrier(RuleCarrier* carrier);
  void SetContacts(std::vector<Contact> contacts);
  void Start();

  // Answers a peer's message.
  void Handle(const wire::Envelope& request, wire::Envelope* reply);

  // Tells the others soon, without waiting for the next period.
  void Hurry();

  void SetStoreContact(bool contact);
  void SetLoad(Fraction load);
  // Announces this node's graceful stop.
  void AnnounceLeaving();

  // Notes that a backend server is leaving; the first report wins and spreads,
  // and nothing takes it back before limits::kLeavingRetention.
  void ReportLeaving(const LeavingBackend& backend);
  // Passes on the VM list's leaving backend servers. Live entries never bring
  // one back.
  void ReportVmList(const std::vector<platform::VmEntry>& vms, WallSeconds now);
  bool IsLeaving(std::string_view name, std::string_view address) const;
  std::vector<LeavingBackend> LeavingBackends() const;
  // Called for every backend server that is newly known to be leaving.
  void SetLeavingListener(std::function<void(const LeavingBackend&)> listener);
  // Forgets what has left long ago.
  void ExpireLeaving(WallSeconds now);

  // Members of the own failure domain, this node included.
  std::vector<MemberInfo> DomainMembers() const;
  std::vector<DomainInfo> Domains() const;
  // Place of this node among the live members of its failure domain, 0 first.
  int OwnRank() const;
  // Live members of the own failure domain in order of rank.
  std::vector<MemberInfo> Ranked() const;
  Incarnation OwnIncarnation() const;
  // A later life of this node runs elsewhere; this one must stop.
  bool IsSuperseded() const;
  // Some peer has answered since the start.
  bool HasPeers() const;

  const MembershipStats& GetStats() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

enum class Readiness : uint8_t {
  // Still asking the store and peers.
  kStarting,
  kReady,
  // Serves only what the settings provide.
  kLastResort,
  kNotReady,
};

struct RuleSpreadInit {
  std::string rule_key = "comfreystand/rules";
  std::optional<RuleDocument> (*decode)(std::string_view bytes) =
      &DecodeRuleDocument;
  // The settings provide rules to serve with when nobody else does.
  bool has_last_resort = false;
  uint64_t seed = 1;
  // Time that a starting node gives its peers to answer.
  Duration join_wait = std::chrono::seconds(3);
  // Slow poll of a failure domain where nobody reaches the store.
  Duration poll_period = std::chrono::seconds(30);
  // Members of lower rank leave the store to those before them.
  int watchers = 3;
  // Time after which a document's unconfirmed audit entries are completed by
  // the watching node.
  Duration audit_delay = std::chrono::seconds(10);
  // Completes the audit trail; see platform::Acceptance::ConfirmAudit().
  std::function<void()> confirm_audit;
};

struct RuleSpreadStats {
  uint64_t installs = 0;
  uint64_t from_peers = 0;
  // Documents older than the one in force, never installed.
  uint64_t older_documents = 0;
  uint64_t bad_documents = 0;
  // Times the store held an older document and was given the current one.
  uint64_t store_repairs = 0;
  // Documents of the same version with another text.
  uint64_t version_conflicts = 0;
  uint64_t pulls = 0;
};

struct RuleSpreadStatus {
  Readiness readiness = Readiness::kStarting;
  std::string reason;
  RuleVersion version;
  // Highest version heard of from anyone.
  RuleVersion highest_seen;
  bool watching = false;
  // Time since the store, or a peer that is ready, was last heard.
  Duration age{0};
};

// Keeps the newest accepted rule document in force on this node.
class RuleSpread final : public RuleCarrier {
 public:
  using Listener = std::function<void(const RuleDocument& document)>;

  RuleSpread(const RuleSpreadInit& init,
             Loop& loop,
             platform::KeyValueStore& store,
             peer::Transport& transport,
             Membership& membership);
  ~RuleSpread() override;
  RuleSpread(const RuleSpread&) = delete;
  RuleSpread& operator=(const RuleSpread&) = delete;

  // Called on the loop for every installed document.
  void SetListener(Listener listener);
  void Start();

  // Reads the store now.
  void ReadStore();

  // Takes the document of a change that this node's platform::Acceptance got
  // accepted, so that it spreads also when the store is lost right after.
  void OfferAccepted(const std::string& bytes);

  const RuleDocument& Document() const;
  RuleSpreadStatus GetStatus() const;
  const RuleSpreadStats& GetStats() const;

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
  // Look-ups no longer name this entry VM; callers still use old answers.
  kWithdrawn,
  // Old answers have expired; requests in flight are finished.
  kFinishing,
  // Grants are handed back and the hour ledger is flushed.
  kHandingBack,
  kDone,
};

std::string_view ToString(StopPhase phase);

struct GracefulStopInit {
  // Longest time that callers reuse a look-up answer.
  Duration answer_ttl = std::chrono::seconds(10);
  // Added to the TTL for clocks and answers under way.
  Duration margin = std::chrono::seconds(2);
  // Bounds on finishing requests and on handing back.
  Duration finish_limit = std::chrono::seconds(60);
  Duration hand_back_limit = std::chrono::seconds(10);
};

// What the node has left to do.
struct StopProgress {
  int requests_in_flight = 0;
  // Requests that arrived within the last margin.
  bool requests_arriving = false;
  int grants_held = 0;
  bool hours_flushed = false;
};

// Decides when a stopping entry VM may take its next step.
class GracefulStop {
 public:
  explicit GracefulStop(const GracefulStopInit& init = {}) : init_(init) {}

  void Begin(TimePoint now);
  // Moves on as far as the progress allows and returns the phase.
  StopPhase Step(TimePoint now, const StopProgress& progress);

  StopPhase Phase() const { return phase_; }
  // Look-ups may name this entry VM.
  bool IsOffered() const { return phase_ == StopPhase::kRunning; }
  // New requests are still accepted, since callers hold answers naming it.
  bool AcceptsRequests() const { return phase_ <= StopPhase::kFinishing; }
  // Requests that were still in flight when the bound was reached.
  int CutRequests() const { return cut_requests_; }

 private:
  void Enter(StopPhase phase, TimePoint now);

  GracefulStopInit init_;
  StopPhase phase_ = StopPhase::kRunning;
  TimePoint entered_{};
  int cut_requests_ = 0;
};

}  // namespace comfreystand::member

#endif  // COMFREYSTAND_MEMBER_H_
