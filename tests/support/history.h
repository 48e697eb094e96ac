#ifndef COMFREYSTAND_TESTS_SUPPORT_HISTORY_H_
#define COMFREYSTAND_TESTS_SUPPORT_HISTORY_H_

#include <map>
#include <string>
#include <vector>

#include "tests/support/test_fleet.h"

namespace comfreystand::testing {

constexpr int kNodesPerDomain = 3;

// A proposed change and the reply to it.
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
  // Index of the failure domain, or kStoreDomain.
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
  // Version in force when the node was first seen to be ready.
  RuleVersion version_at_ready;
  // Zero if it never was.
  TimePoint ready_at{};
  std::vector<InstallRecord> installs;
};

// One document that was written to the store.
struct StoredDocument {
  platform::Revision expected;
  platform::Revision revision;
  RuleVersion version;
  std::string last_change_id;
  TimePoint when;
};

// Record of a run, which the checkers examine.
struct History {
  std::vector<ProposalRecord> proposals;
  std::vector<ProcessRecord> processes;
  std::vector<Disturbance> disturbances;
  std::vector<StoredDocument> documents;
  // The audit trail at the end of the run.
  std::vector<AuditEntry> trail;
  // Whether the store was restored from an old copy. Its trail may then lack
  // entries.
  bool restored = false;
  std::vector<TimePoint> restores;
  // Violations found during the run: a process stopped reporting a backend
  // server as leaving, or an entry VM did not report a leaving backend server
  // by the end of the run.
  std::vector<std::string> leaving_violations;
  TimePoint end;
  // Events of the run, one per line, for failure messages.
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
// The audit trail has one complete entry for each stored change and no others.
Violations CheckAuditTrail(const History& history);
// Every undisturbed node has each stored version in force within a maximum
// delay.
Violations CheckInForce(const History& history);
// Every node reports the leaving backend servers as such by the end of the run,
// and no process stops reporting one.
Violations CheckLeaving(const History& history);

// Runs all checkers and returns the violations of each in turn.
Violations CheckAll(const History& history);

// Bugs injected into the fakes or the recorded history, to test that the
// checkers detect them.
enum class InjectedBug : uint8_t {
  kNone,
  // The store ignores the expected revision.
  kUncheckedSwap,
  // The store acknowledges writes of the audit trail but drops them.
  kDroppedTrailWrites,
  // A node installs an older document.
  kVersionRollback,
  // A failure domain is cut off from the other domains and from the store, but
  // the disturbance is not recorded.
  kUnrecordedPartition,
  // A node drops the leaving backend servers that it knows of.
  kDroppedLeave,
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
