#ifndef COMFREYSTAND_TESTS_SUPPORT_HISTORY_H_
#define COMFREYSTAND_TESTS_SUPPORT_HISTORY_H_

#include <map>
#include <string>
#include <vector>

#include "tests/support/test_fleet.h"

namespace comfreystand::testing {

// A proposal of a change and the reply to it.
struct ProposalRecord {
  std::string change_id;
  bool answered = false;
  platform::AcceptStatus status = platform::AcceptStatus::kUnresolved;
  RuleVersion version;
  TimePoint answered_at;
};

// Value of Disturbance::domain for the store.
constexpr int kStoreDomain = -2;

// A period during which a failure domain or the store was not fully reachable.
struct Disturbance {
  int domain = 0;
  TimePoint from;
  TimePoint to = TimePoint::max();
};

// One process of an entry VM's node, from its start until it was killed.
struct ProcessRecord {
  // Index of the entry VM.
  int vm = 0;
  TimePoint from;
  TimePoint to = TimePoint::max();
  // Version in force when it first reported that it was ready.
  RuleVersion version_at_ready;
  TimePoint ready_at{};
  std::vector<Installed> installs;
};

// One document that was written to the store.
struct StoredDocument {
  platform::Revision expected;
  platform::Revision revision;
  RuleVersion version;
  std::string last_change_id;
  TimePoint when;
};

// Record of a run, for the checkers.
struct History {
  std::vector<ProposalRecord> proposals;
  std::vector<ProcessRecord> processes;
  std::vector<Disturbance> disturbances;
  std::vector<StoredDocument> documents;
  std::vector<AuditEntry> trail;
  // Whether the store was restored from an old copy. Its trail may then lack
  // entries.
  bool restored = false;
  std::vector<TimePoint> restores;
  // Violations found during the run: a process stopped reporting a backend
  // server as leaving, or an entry VM did not learn of a leaving backend server
  // in time.
  std::vector<std::string> leaving_violations;
  TimePoint end;
  std::string trace;
};

using Violations = std::vector<std::string>;

// A checker returns the violations it finds.
using Checker = Violations (*)(const History& history);

// Versions increase within each process, and a restarted node is ready with at
// least the version that it had in force before.
Violations CheckVersionsIncrease(const History& history);
// The stored documents agree with the replies to the proposals.
Violations CheckAcceptance(const History& history);
// The trail has one complete entry for each stored change and no others.
Violations CheckAuditTrail(const History& history);
// Every undisturbed node has each stored version in force in time.
Violations CheckInForce(const History& history);
// Nodes learn of leaving backend servers in time and don't forget them.
Violations CheckLeaving(const History& history);

// Runs all checkers and returns the violations of each in turn.
Violations CheckAll(const History& history);

// Bugs injected into the fakes or the harness to test that checkers detect
// them.
enum class InjectedBug : uint8_t {
  kNone,
  // The store ignores the expected revision.
  kUncheckedSwap,
  // The store acknowledges trail writes that it drops.
  kDroppedTrailWrites,
  // A node installs an older document.
  kVersionRollback,
  // Messages and watches of a failure domain stop, without a recorded
  // disturbance.
  kUnrecordedPartition,
  // A node drops a leaving backend server.
  kForgottenLeave,
};

struct RunInit {
  uint64_t seed = 1;
  // Names of faults in the fault table. Faults may overlap.
  std::vector<std::string> faults;
  InjectedBug injected_bug = InjectedBug::kNone;
};

// Names of all faults in the fault table.
std::vector<std::string> FaultNames();

// Runs a fleet with proposals and leaving reports under the faults, ends the
// faults, lets the fleet settle and returns the history.
History RunHistory(const RunInit& init);

}  // namespace comfreystand::testing

#endif  // COMFREYSTAND_TESTS_SUPPORT_HISTORY_H_
