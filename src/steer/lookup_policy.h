#ifndef COMFREYSTAND_STEER_LOOKUP_POLICY_H_
#define COMFREYSTAND_STEER_LOOKUP_POLICY_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "comfreystand/steer/lookup.h"

namespace comfreystand::steer {

// Assigns handles to site names. The two policies of a change share them.
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

// A site that may be listed in an answer, with its nearness tier.
struct Candidate {
  SiteId site;
  uint8_t tier = 0;
};

// SiteState in the form that look-ups use, indexed by site handle.
struct SiteStatus {
  bool live = true;
  bool leaving = false;
  double admit_fraction = 1;
};

// Candidates for one look-up, nearest first.
struct CandidateList {
  std::array<Candidate, limits::kMaxOrderSites> items{};
  uint8_t count = 0;
};

// Candidates ranked by the rules and the states of the sites. The order of
// sites that tie depends on the client unit and isn't decided yet.
struct RankedSites {
  std::array<SiteId, limits::kMaxOrderSites> sites{};
  // Bit i is set when site i ties with site i-1.
  uint8_t ties = 0;
  uint8_t count = 0;
  // All candidates are dead, drained or leaving.
  bool last_resort = true;
  // The ranking is the same for every client unit, so that it can be cached
  // until a state changes.
  bool same_for_all_units = true;
};

// The parts of one rule set that decide look-ups: which sites exist, which are
// drained and how traffic is shared between regions.
class SitePolicy {
 public:
  SitePolicy(const RuleSet& rules, SiteNames* names);

  // Returns the candidates for clients that are in no block: the sites in the
  // region of failure domain `domain`, then all others.
  CandidateList SitesNearDomain(const std::string& domain) const;

  // Ranks candidates for a client unit. `statuses` is indexed by site handle.
  RankedSites RankSites(const CandidateList& candidates,
                        uint64_t unit,
                        const std::vector<SiteStatus>& statuses) const;

  // Orders the sites that tie for `unit` and returns the best kMaxAnswerSites.
  LookupAnswer MakeAnswer(const RankedSites& ranked_sites, uint64_t unit) const;

  bool HasDrainedSite() const { return has_drained_site_; }

 private:
  struct Site {
    bool exists = false;
    bool drained = false;
    uint16_t region = 0;
    float inverse_weight = 1;
    // Hash of the name, which stays the same when sites are renumbered.
    uint64_t salt = 0;
  };
  struct Share {
    uint16_t to = 0;
    // Units with points below it, and not below the previous share's, go to
    // region `to`.
    double end = 0;
  };
  struct RankedCandidate;

  RankedCandidate RankCandidate(const Candidate& candidate,
                                int target_region,
                                uint64_t unit,
                                const std::vector<SiteStatus>& statuses) const;
  float Score(SiteId site, uint64_t unit_hash) const;
  void OrderTiedSites(SiteId* sites, size_t count, uint64_t unit_hash) const;
  int TargetRegion(const CandidateList& candidates,
                   uint64_t unit,
                   bool* has_shares) const;

  std::vector<Site> sites_;
  std::vector<std::vector<Share>> shares_;
  std::vector<DomainRule> domains_;
  std::vector<SiteRule> site_rules_;
  std::vector<SiteId> site_ids_;
  bool equal_weights_ = true;
  bool has_drained_site_ = false;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_STEER_LOOKUP_POLICY_H_
