#include <algorithm>
#include <set>

#include "tests/support/history.h"

namespace comfreystand::testing {
namespace {

using namespace std::chrono_literals;
using platform::AcceptStatus;

// Promise on the spread of an accepted rule file.
constexpr Duration kInForceWithin = 9s;
// Time that a version must have been in force before a kill for the next life
// to be held to it: a version that nobody else has yet may be lost with its
// only holder while the store is down.
constexpr Duration kSpreadGrace = 9s;

std::string Text(RuleVersion version) {
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

// Version that a life had in force at `when`; zero before its first.
RuleVersion VersionAt(const LifeRecord& life, TimePoint when) {
  RuleVersion version;
  for (const Installed& install : life.installs) {
    if (install.when <= when) {
      version = install.version;
    }
  }
  return version;
}

// The store took the change, was restored to a copy without it, and never got
// it again.
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

// When the spread of a document counts from: its write, or if the store could
// not be read around that time, the answer to its proposer. Zero if there was
// neither.
TimePoint SpreadFrom(const History& history, const StoredDocument& document) {
  if (!IsDisturbed(history, kStoreDisturbed, document.when - kInForceWithin,
                   document.when + kInForceWithin)) {
    return document.when;
  }
  for (const ProposalRecord& proposal : history.proposals) {
    if (proposal.change_id == document.last_change_id &&
        proposal.status == AcceptStatus::kAccepted) {
      return proposal.told;
    }
  }
  return TimePoint{};
}

}  // namespace

Faults CheckVersionsNeverFall(const History& history) {
  Faults faults;
  std::map<int, RuleVersion> held;
  for (const LifeRecord& life : history.lives) {
    RuleVersion last;
    for (const Installed& install : life.installs) {
      if (install.version <= last) {
        faults.push_back("place " + std::to_string(life.place) + " went from " +
                         Text(last) + " to " + Text(install.version));
      }
      last = install.version;
    }
    RuleVersion& before = held[life.place];
    if (life.ready != TimePoint{} && life.at_ready < before) {
      faults.push_back("place " + std::to_string(life.place) +
                       " was ready with " + Text(life.at_ready) + " after " +
                       Text(before));
    }
    before = std::max(before, VersionAt(life, life.to == TimePoint::max()
                                                  ? history.end
                                                  : life.to - kSpreadGrace));
  }
  return faults;
}

Faults CheckAcceptance(const History& history) {
  Faults faults;
  std::map<std::string, RuleVersion> accepted;
  std::set<RuleVersion> versions;
  platform::Revision last;
  for (const StoredDocument& document : history.documents) {
    if (!history.restored && document.expected != last) {
      faults.push_back("a swap ignored the write before it");
    }
    last = document.revision;
    const std::string& id = document.last_change_id;
    if (id.empty() || accepted.contains(id)) {
      continue;
    }
    accepted[id] = document.version;
    if (!versions.insert(document.version).second) {
      faults.push_back("two changes share version " + Text(document.version));
    }
  }
  for (const ProposalRecord& proposal : history.proposals) {
    const auto it = accepted.find(proposal.change_id);
    const bool stored = it != accepted.end();
    if (!proposal.answered || proposal.status == AcceptStatus::kUnresolved) {
      continue;
    }
    const bool told = proposal.status == AcceptStatus::kAccepted;
    if (!told && stored && WasRolledBack(history, proposal.change_id)) {
      continue;
    }
    if (told != stored) {
      faults.push_back(proposal.change_id + " was told " +
                       std::string(ToString(proposal.status)) +
                       (stored ? " but is stored" : " but is not stored"));
    } else if (told && it->second != proposal.version) {
      faults.push_back(proposal.change_id + " was told another version");
    }
  }
  return faults;
}

Faults CheckAuditTrail(const History& history) {
  Faults faults;
  if (history.restored) {
    return faults;
  }
  std::set<std::string> in_trail;
  for (const AuditEntry& entry : history.trail) {
    if (!in_trail.insert(entry.change_id).second) {
      faults.push_back(entry.change_id + " is in the trail twice");
    }
    if (entry.proposed_by.empty() || entry.requested_by.empty() ||
        entry.diff.empty() || entry.version <= entry.from_version) {
      faults.push_back(entry.change_id + " is incomplete in the trail");
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
      faults.push_back(id + " is missing in the trail");
    }
  }
  for (const std::string& id : in_trail) {
    if (!stored.contains(id)) {
      faults.push_back(id + " is in the trail but was not accepted");
    }
  }
  return faults;
}

Faults CheckInForce(const History& history) {
  Faults faults;
  std::set<std::string> seen;
  for (const StoredDocument& document : history.documents) {
    if (!seen.insert(document.last_change_id).second) {
      continue;
    }
    const TimePoint from = SpreadFrom(history, document);
    if (from == TimePoint{}) {
      continue;
    }
    const TimePoint due = from + kInForceWithin;
    for (const LifeRecord& life : history.lives) {
      const int domain = life.place / 3;
      if (life.from > from || life.to < due || due > history.end ||
          IsDisturbed(history, domain, from - kInForceWithin, due)) {
        continue;
      }
      if (VersionAt(life, due) < document.version) {
        faults.push_back("version " + Text(document.version) +
                         " was not in force at place " +
                         std::to_string(life.place) + " in time");
      }
    }
  }
  return faults;
}

Faults CheckLeaving(const History& history) {
  return history.leaving_faults;
}

Faults CheckAll(const History& history) {
  constexpr Checker kCheckers[] = {&CheckVersionsNeverFall, &CheckAcceptance,
                                   &CheckAuditTrail, &CheckInForce,
                                   &CheckLeaving};
  Faults all;
  for (const Checker checker : kCheckers) {
    const Faults found = checker(history);
    all.insert(all.end(), found.begin(), found.end());
  }
  return all;
}

}  // namespace comfreystand::testing
