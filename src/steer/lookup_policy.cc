#include "src/steer/lookup_policy.h"

#include <algorithm>
#include <cmath>

namespace comfreystand::steer {
namespace {

// Hash salts, so that a unit's points for different decisions are independent.
constexpr uint64_t kShareSalt = 0x5348415245;
constexpr uint64_t kAdmitSalt = 0x41444d4954;
constexpr int kNoTargetRegion = -1;

// Whether a site can take clients, from best to worst.
enum class Availability : uint8_t { kAvailable, kFull, kDraining, kDead };

// Returns true when a drain rule applies to a site.
bool DrainCovers(const DrainRule& drain,
                 const RuleSet& rules,
                 const SiteRule& site) {
  const DomainRule& domain = rules.domains[site.domain.value];
  switch (drain.scope) {
    case DrainRule::Scope::kRegion:
      return rules.regions[domain.region.value].name == drain.target;
    case DrainRule::Scope::kDomain:
      return domain.name == drain.target;
    case DrainRule::Scope::kSite:
      return site.name == drain.target;
    case DrainRule::Scope::kBackend:
      return false;
  }
  return false;
}

// Mixes a site's salt into a unit's hash (the finalizer of MurmurHash3).
uint64_t MixHash(uint64_t unit_hash, uint64_t salt) {
  uint64_t hash = unit_hash ^ salt;
  hash = (hash ^ (hash >> 33)) * 0xff51afd7ed558ccd;
  hash = (hash ^ (hash >> 33)) * 0xc4ceb9fe1a85ec53;
  return hash ^ (hash >> 33);
}

// Maps a unit to a point in [0, 1) that depends only on the unit and `salt`.
double UnitPoint(uint64_t unit, uint64_t salt) {
  return HashToUnitInterval(StableHash(unit, salt));
}

}  // namespace

SiteId SiteNames::Add(const std::string& name) {
  const auto [entry, added] =
      ids_.emplace(name, SiteId(static_cast<uint16_t>(names_.size())));
  if (added) {
    names_.push_back(name);
  }
  return entry->second;
}

SiteId SiteNames::Find(const std::string& name) const {
  const auto entry = ids_.find(name);
  return entry == ids_.end() ? SiteId() : entry->second;
}

SitePolicy::SitePolicy(const RuleSet& rules, SiteNames* names)
    : shares_(rules.regions.size()),
      domains_(rules.domains),
      site_rules_(rules.sites) {
  for (const SiteRule& rule : rules.sites) {
    const SiteId id = names->Add(rule.name);
    site_ids_.push_back(id);
    sites_.resize(std::max<size_t>(sites_.size(), id.value + 1));
    Site& site = sites_[id.value];
    site.exists = true;
    site.region = rules.domains[rule.domain.value].region.value;
    site.inverse_weight = static_cast<float>(1 / rule.weight);
    site.salt = StableHash(rule.name);
    site.drained = std::any_of(rules.drains.begin(), rules.drains.end(),
                               [&](const DrainRule& drain) {
                                 return DrainCovers(drain, rules, rule);
                               });
    has_drained_site_ |= site.drained;
    equal_weights_ &= rule.weight == rules.sites.front().weight;
  }
  for (const ShareRule& rule : rules.shares) {
    std::vector<Share>& row = shares_[rule.from.value];
    const double begin = row.empty() ? 0 : row.back().end;
    row.push_back({rule.to.value, begin + rule.share.value});
  }
}

CandidateList SitePolicy::SitesNearDomain(const std::string& domain) const {
  const auto domain_rule =
      std::find_if(domains_.begin(), domains_.end(),
                   [&](const DomainRule& rule) { return rule.name == domain; });
  std::vector<Candidate> all;
  for (size_t i = 0; i < site_rules_.size(); ++i) {
    const RegionId region = domains_[site_rules_[i].domain.value].region;
    const bool in_region =
        domain_rule != domains_.end() && region == domain_rule->region;
    all.push_back({site_ids_[i], static_cast<uint8_t>(in_region ? 0 : 1)});
  }
  std::stable_sort(
      all.begin(), all.end(),
      [](const Candidate& a, const Candidate& b) { return a.tier < b.tier; });
  CandidateList list;
  list.count =
      static_cast<uint8_t>(std::min(all.size(), limits::kMaxOrderSites));
  std::copy_n(all.begin(), list.count, list.items.begin());
  return list;
}

struct SitePolicy::RankedCandidate {
  SiteId site;
  Availability availability = Availability::kDead;
  uint8_t tier = 0;

  bool TiesWith(const RankedCandidate& other) const {
    return availability == other.availability && tier == other.tier;
  }
  // Returns true when this site is listed before `other` for every unit.
  bool RanksBefore(const RankedCandidate& other) const {
    return availability != other.availability
               ? availability < other.availability
               : tier < other.tier;
  }
};

SitePolicy::RankedCandidate SitePolicy::RankCandidate(
    const Candidate& candidate,
    int target_region,
    uint64_t unit,
    const std::vector<SiteStatus>& statuses) const {
  const Site& site = sites_[candidate.site.value];
  const SiteStatus& status = statuses[candidate.site.value];
  RankedCandidate ranked;
  ranked.site = candidate.site;
  ranked.tier = target_region == site.region
                    ? 0
                    : static_cast<uint8_t>(candidate.tier + 1);
  if (!status.live) {
    ranked.availability = Availability::kDead;
  } else if (site.drained || status.leaving) {
    ranked.availability = Availability::kDraining;
  } else if (status.admit_fraction < 1 &&
             UnitPoint(unit, site.salt ^ kAdmitSalt) >= status.admit_fraction) {
    ranked.availability = Availability::kFull;
  } else {
    ranked.availability = Availability::kAvailable;
  }
  return ranked;
}

// Score for weighted rendezvous hashing: when a site goes away, only its own
// clients move.
float SitePolicy::Score(SiteId id, uint64_t unit_hash) const {
  const Site& site = sites_[id.value];
  const auto point =
      static_cast<float>(HashToUnitInterval(MixHash(unit_hash, site.salt)));
  return equal_weights_ ? point : std::log(point) * site.inverse_weight;
}

void SitePolicy::OrderTiedSites(SiteId* sites,
                                size_t count,
                                uint64_t unit_hash) const {
  if (count == 2) {
    const std::array<SiteId, 2> pair = {sites[0], sites[1]};
    const bool swap = Score(pair[1], unit_hash) > Score(pair[0], unit_hash);
    sites[0] = pair[swap ? 1 : 0];
    sites[1] = pair[swap ? 0 : 1];
    return;
  }
  std::array<float, limits::kMaxOrderSites> scores{};
  for (size_t i = 0; i < count; ++i) {
    const SiteId site = sites[i];
    const float score = Score(site, unit_hash);
    size_t position = i;
    while (position > 0 && score > scores[position - 1]) {
      scores[position] = scores[position - 1];
      sites[position] = sites[position - 1];
      --position;
    }
    scores[position] = score;
    sites[position] = site;
  }
}

int SitePolicy::TargetRegion(const CandidateList& candidates,
                             uint64_t unit,
                             bool* has_shares) const {
  for (uint8_t i = 0; i < candidates.count; ++i) {
    const size_t site = candidates.items[i].site.value;
    if (site >= sites_.size() || !sites_[site].exists) {
      continue;
    }
    const std::vector<Share>& row = shares_[sites_[site].region];
    if (row.empty()) {
      return kNoTargetRegion;
    }
    *has_shares = true;
    const double point = UnitPoint(unit, kShareSalt);
    for (const Share& share : row) {
      if (point < share.end) {
        return share.to;
      }
    }
    return kNoTargetRegion;
  }
  return kNoTargetRegion;
}

RankedSites SitePolicy::RankSites(
    const CandidateList& candidates,
    uint64_t unit,
    const std::vector<SiteStatus>& statuses) const {
  RankedSites result;
  bool has_shares = false;
  const int target = TargetRegion(candidates, unit, &has_shares);
  result.same_for_all_units = !has_shares;
  std::array<RankedCandidate, limits::kMaxOrderSites> ranked{};
  for (uint8_t i = 0; i < candidates.count; ++i) {
    const Candidate& candidate = candidates.items[i];
    if (candidate.site.value >= sites_.size() ||
        !sites_[candidate.site.value].exists) {
      continue;
    }
    result.same_for_all_units &=
        statuses[candidate.site.value].admit_fraction >= 1;
    const RankedCandidate entry =
        RankCandidate(candidate, target, unit, statuses);
    size_t position = result.count++;
    while (position > 0 && entry.RanksBefore(ranked[position - 1])) {
      ranked[position] = ranked[position - 1];
      --position;
    }
    ranked[position] = entry;
  }
  result.last_resort =
      result.count == 0 || ranked[0].availability >= Availability::kDraining;
  if (!result.last_resort) {
    while (ranked[result.count - 1].availability >= Availability::kDraining) {
      --result.count;
    }
  }
  for (size_t i = 0; i < result.count; ++i) {
    result.sites[i] = ranked[i].site;
    const bool tie = i > 0 && ranked[i].TiesWith(ranked[i - 1]);
    result.ties |= static_cast<uint8_t>(tie ? 1U << i : 0);
  }
  return result;
}

LookupAnswer SitePolicy::MakeAnswer(const RankedSites& ranked_sites,
                                    uint64_t unit) const {
  const size_t count = ranked_sites.count;
  std::array<SiteId, limits::kMaxOrderSites> sites = ranked_sites.sites;
  const uint64_t unit_hash = StableHash(unit, 0);
  size_t begin = 0;
  while (begin < std::min(count, kMaxAnswerSites)) {
    size_t end = begin + 1;
    while ((ranked_sites.ties >> end & 1) != 0) {
      ++end;
    }
    if (end - begin > 1) {
      OrderTiedSites(&sites[begin], end - begin, unit_hash);
    }
    begin = end;
  }
  LookupAnswer answer;
  answer.count = static_cast<uint8_t>(std::min(count, kMaxAnswerSites));
  std::copy_n(sites.begin(), answer.sites.size(), answer.sites.begin());
  return answer;
}

}  // namespace comfreystand::steer
