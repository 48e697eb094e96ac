#include <algorithm>
#include <set>

#include "tests/support/history.h"

namespace comfreystand::testing {
namespace {

using namespace std::chrono_literals;
using platform::AcceptStatus;

// Maximum time until an accepted rule file is in force at all nodes.
constexpr Duration kMaxInForceDelay = 9s;
// A process has to report ready with at least the version that its predecessor
// had in force this long before it was killed. A newer version may be lost with
// the only node that has it while the store is down.
constexpr Duration kReplicationGrace = 9s;

std::string ToText(RuleVersion version) {
  return std::to_string(version.value);
}

bool IsDisturbed(const History& history,
                 int domain,
                 TimePoint from,
                 TimePoint to) {
  return std::any_of(history.disturbances.begin(), history.disturbances.end(),
                     [&](const Disturbance& d) {
                       return d.domain == domain && d.from < to && d.to > from;
                     });
}

// Version that a process had in force at `when`; zero before its first install.
RuleVersion VersionAt(const ProcessRecord& process, TimePoint when) {
  RuleVersion version;
  for (const InstallRecord& install : process.installs) {
    if (install.when <= when) {
      version = install.version;
    }
  }
  return version;
}

// Returns whether the store was restored from a copy after the last write of
// the change, so that the stored change may be lost.
bool WasRolledBack(const History& history, const std::string& change_id) {
  TimePoint last{};
  for (const StoredDocument& document : history.documents) {
    if (document.last_change_id == change_id) {
      last = document.when;
    }
  }
  return std::any_of(history.restores.begin(), history.restores.end(),
                     [&](TimePoint restore) { return last <= restore; });
}

// Start of the kMaxInForceDelay of a document: the time of its write or, if the
// store was disturbed around that time, of the reply that the change was
// accepted. Zero if there was no such reply.
TimePoint InForceDelayStart(const History& history,
                            const StoredDocument& document) {
  if (!IsDisturbed(history, kStoreDomain, document.when - kMaxInForceDelay,
                   document.when + kMaxInForceDelay)) {
    return document.when;
  }
  for (const ProposalRecord& proposal : history.proposals) {
    if (proposal.change_id == document.last_change_id &&
        proposal.status == AcceptStatus::kAccepted) {
      return proposal.answered_at;
    }
  }
  return TimePoint{};
}

}  // namespace

Violations CheckVersionsIncrease(const History& history) {
  Violations violations;
  std::map<int, RuleVersion> version_of_vm;
  for (const ProcessRecord& process : history.processes) {
    RuleVersion last;
    for (const InstallRecord& install : process.installs) {
      if (install.version <= last) {
        violations.push_back("entry VM " + std::to_string(process.vm) +
                             " went from version " + ToText(last) + " to " +
                             ToText(install.version));
      }
      last = install.version;
    }
    RuleVersion& before = version_of_vm[process.vm];
    if (process.ready_at != TimePoint{} && process.version_at_ready < before) {
      violations.push_back("entry VM " + std::to_string(process.vm) +
                           " was ready with version " +
                           ToText(process.version_at_ready) +
                           " after version " + ToText(before));
    }
    before = std::max(before,
                      VersionAt(process, process.to == TimePoint::max()
                                             ? history.end
                                             : process.to - kReplicationGrace));
  }
  return violations;
}

Violations CheckAcceptance(const History& history) {
  Violations violations;
  std::map<std::string, RuleVersion> accepted;
  std::set<RuleVersion> versions;
  platform::Revision last;
  for (const StoredDocument& document : history.documents) {
    if (!history.restored && document.expected != last) {
      violations.push_back(
          "a write did not expect the revision of the write before it");
    }
    last = document.revision;
    const std::string& id = document.last_change_id;
    if (id.empty() || accepted.contains(id)) {
      continue;
    }
    accepted[id] = document.version;
    if (!versions.insert(document.version).second) {
      violations.push_back("two changes share version " +
                           ToText(document.version));
    }
  }
  for (const ProposalRecord& proposal : history.proposals) {
    const auto it = accepted.find(proposal.change_id);
    const bool stored = it != accepted.end();
    if (!proposal.answered || proposal.status == AcceptStatus::kUnresolved) {
      continue;
    }
    const bool reported_accepted = proposal.status == AcceptStatus::kAccepted;
    if (!reported_accepted && stored &&
        WasRolledBack(history, proposal.change_id)) {
      continue;
    }
    if (reported_accepted != stored) {
      violations.push_back(proposal.change_id + " got the reply " +
                           std::string(ToString(proposal.status)) +
                           (stored ? " but is stored" : " but is not stored"));
    } else if (reported_accepted && it->second != proposal.version) {
      violations.push_back(proposal.change_id +
                           " got a reply with another version");
    }
  }
  return violations;
}

Violations CheckAuditTrail(const History& history) {
  Violations violations;
  if (history.restored) {
    return violations;
  }
  std::set<std::string> in_trail;
  for (const AuditEntry& entry : history.trail) {
    if (!in_trail.insert(entry.change_id).second) {
      violations.push_back(entry.change_id + " is in the trail twice");
    }
    if (entry.proposed_by.empty() || entry.requested_by.empty() ||
        entry.diff.empty() || entry.version <= entry.from_version) {
      violations.push_back(entry.change_id + " is incomplete in the trail");
    }
  }
  std::set<std::string> stored;
  for (const StoredDocument& document : history.documents) {
    if (!document.last_change_id.empty()) {
      stored.insert(document.last_change_id);
    }
  }
  for (const std::string& id : stored) {
    if (!in_trail.contains(id)) {
      violations.push_back(id + " is missing in the trail");
    }
  }
  for (const std::string& id : in_trail) {
    if (!stored.contains(id)) {
      violations.push_back(id + " is in the trail but was not accepted");
    }
  }
  return violations;
}

Violations CheckInForce(const History& history) {
  Violations violations;
  std::set<std::string> seen;
  for (const StoredDocument& document : history.documents) {
    if (!seen.insert(document.last_change_id).second) {
      continue;
    }
    const TimePoint from = InForceDelayStart(history, document);
    if (from == TimePoint{}) {
      continue;
    }
    const TimePoint due = from + kMaxInForceDelay;
    for (const ProcessRecord& process : history.processes) {
      const int domain = process.vm / kNodesPerDomain;
      if (process.from > from || process.to < due || due > history.end ||
          IsDisturbed(history, domain, from - kMaxInForceDelay, due)) {
        continue;
      }
      if (VersionAt(process, due) < document.version) {
        violations.push_back("version " + ToText(document.version) +
                             " was not in force at entry VM " +
                             std::to_string(process.vm) + " in time");
      }
    }
  }
  return violations;
}

Violations CheckLeaving(const History& history) {
  return history.leaving_violations;
}

Violations CheckAll(const History& history) {
  constexpr Checker kCheckers[] = {&CheckVersionsIncrease, &CheckAcceptance,
                                   &CheckAuditTrail, &CheckInForce,
                                   &CheckLeaving};
  Violations all;
  for (const Checker checker : kCheckers) {
    const Violations found = checker(history);
    all.insert(all.end(), found.begin(), found.end());
  }
  return all;
}

}  // namespace comfreystand::testing
