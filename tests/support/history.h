#ifndef COMFREYSTAND_TESTS_SUPPORT_HISTORY_H_
#define COMFREYSTAND_TESTS_SUPPORT_HISTORY_H_

#include <map>
#include <string>
#include <vector>

#include "tests/support/test_fleet.h"

namespace comfreystand::testing {

// A proposal and what its operator was told.
struct ProposalRecord {
  std::string change_id;
  bool answered = false;
  platform::AcceptStatus status = platform::AcceptStatus::kUnresolved;
  RuleVersion version;
  TimePoint told;
};

// Domain of a disturbance of the store.
constexpr int kStoreDisturbed = -2;

// A time during which a failure domain or the store was not reachable as usual.
struct Disturbance {
  int domain = 0;
  TimePoint from;
  TimePoint to = TimePoint::max();
};

// One life of a place.
struct LifeRecord {
  int place = 0;
  TimePoint from;
  TimePoint to = TimePoint::max();
  // Version in force when it first called itself ready.
  RuleVersion at_ready;
  TimePoint ready{};
  std::vector<Installed> installs;
};

// One document that the store took.
struct StoredDocument {
  platform::Revision expected;
  platform::Revision revision;
  RuleVersion version;
  std::string last_change_id;
  TimePoint when;
};

// All that a run leaves behind for the checkers.
struct History {
  std::vector<ProposalRecord> proposals;
  std::vector<LifeRecord> lives;
  std::vector<Disturbance> disturbances;
  std::vector<StoredDocument> documents;
  std::vector<AuditEntry> trail;
  // The store was put back to an old copy; its trail may lack entries.
  bool restored = false;
  std::vector<TimePoint> restores;
  // Leaving backend servers that some life stopped seeing as leaving, or that
  // some undisturbed place did not know of in time.
  std::vector<std::string> leaving_faults;
  TimePoint end;
  std::string trace;
};

using Faults = std::vector<std::string>;

// A checker returns what it finds wrong.
using Checker = Faults (*)(const History& history);

Faults CheckVersionsNeverFall(const History& history);
Faults CheckAcceptance(const History& history);
Faults CheckAuditTrail(const History& history);
Faults CheckInForce(const History& history);
Faults CheckLeaving(const History& history);

// All checkers, in turn.
Faults CheckAll(const History& history);

// Faults planted in the fakes or the harness, to show that checkers see them.
enum class Planted : uint8_t {
  kNone,
  // The store ignores the expected revision.
  kBlindSwap,
  // The store acknowledges trail writes that it drops.
  kTrailDropped,
  // A node takes an old document again.
  kOldDocument,
  // Messages and watches stop, and nobody notes it.
  kSilentCut,
  // A node forgets a leaving backend server.
  kLeavingForgotten,
};

struct RunInit {
  uint64_t seed = 1;
  // Names of the fault table, any of which may overlap.
  std::vector<std::string> faults;
  Planted planted = Planted::kNone;
};

// Names of all faults of the table.
std::vector<std::string> FaultNames();

// Runs proposals and leaving reports over a fleet under the faults, heals it,
// lets it settle and returns the history.
History RunHistory(const RunInit& init);

}  // namespace comfreystand::testing

#endif  // COMFREYSTAND_TESTS_SUPPORT_HISTORY_H_
