#ifndef COMFREYSTAND_STEER_LOOKUP_POLICY_H_
#define COMFREYSTAND_STEER_LOOKUP_POLICY_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "comfreystand/steer/lookup.h"

namespace comfreystand::steer {

// Numbers given to site names, shared by the policies of a change.
class SiteNames {
 public:
  SiteId Add(const std::string& name);
  // Invalid when the name is unknown.
  SiteId Find(const std::string& name) const;
  const std::string& Name(SiteId site) const { return names_[site.value]; }
  size_t Size() const { return names_.size(); }

 private:
  std::vector<std::string> names_;
  std::unordered_map<std::string, SiteId> ids_;
};

// A site that an order offers to a client unit.
struct Candidate {
  SiteId site;
  uint8_t tier = 0;
};

// State of a site, ready for use per look-up.
struct SiteGate {
  bool live = true;
  bool leaving = false;
  double admit = 1;
};

// Candidates of one look-up, nearest first.
struct CandidateList {
  std::array<Candidate, limits::kMaxOrderSites> items{};
  uint8_t count = 0;
};

// Sites of one order as the rules and the sites' states rank them; equally
// good ones are still to be ordered per client unit.
struct Arrangement {
  std::array<SiteId, limits::kMaxOrderSites> sites{};
  // Bit i: site i is as good as site i-1.
  uint8_t ties = 0;
  uint8_t count = 0;
  // Only dead or drained sites were left.
  bool last_resort = true;
  // The same for every client unit, as long as no state changes.
  bool reusable = true;
};

// One rule set's view of the sites: which exist, which are drained, how
// traffic is shared between regions.
class SitePolicy {
 public:
  SitePolicy(const RuleSet& rules, SiteNames* names);

  // Orders all sites by distance from a failure domain, for clients in no
  // block: its region's sites first.
  CandidateList NearDomain(const std::string& domain) const;

  // Ranks the sites of an order for a client unit. `gates` index all names.
  Arrangement Arrange(const CandidateList& near,
                      uint64_t unit,
                      const std::vector<SiteGate>& gates) const;

  // Lists up to kMaxAnswerSites of an arrangement, best first.
  LookupAnswer Choose(const Arrangement& arrangement, uint64_t unit) const;

  bool HasDrain() const { return has_drain_; }

 private:
  struct Site {
    bool exists = false;
    bool drained = false;
    uint16_t region = 0;
    float inverse_weight = 1;
    // Hash of the name, which outlasts renumbering.
    uint64_t salt = 0;
  };
  struct Share {
    uint16_t to = 0;
    // Upper end of the share's interval of unit points.
    double end = 0;
  };
  struct Ranked;

  Ranked Rank(const Candidate& candidate,
              int target_region,
              uint64_t unit,
              const std::vector<SiteGate>& gates) const;
  float Score(SiteId site, uint64_t unit_hash) const;
  void OrderEqual(SiteId* run, size_t count, uint64_t unit_hash) const;
  int TargetRegion(const CandidateList& near,
                   uint64_t unit,
                   bool* shared) const;

  std::vector<Site> sites_;
  std::vector<std::vector<Share>> shares_;
  std::vector<DomainRule> domains_;
  std::vector<SiteRule> site_rules_;
  std::vector<SiteId> site_ids_;
  bool equal_weights_ = true;
  bool has_drain_ = false;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_STEER_LOOKUP_POLICY_H_
