#include "src/steer/lookup_policy.h"

#include <algorithm>
#include <cmath>

namespace comfreystand::steer {
namespace {

// Seeds that keep the points of one unit for different decisions apart.
constexpr uint64_t kSharePoint = 0x5348415245;
constexpr uint64_t kAdmitPoint = 0x41444d4954;
constexpr int kNoTarget = -1;

// How willingly a site is listed; lower is better.
enum class Standing : uint8_t { kAdmits, kFull, kDraining, kDead };

// Whether a drain rule covers a site.
bool Covers(const DrainRule& drain,
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

double UnitPoint(uint64_t unit, uint64_t salt) {
  return HashToUnit(StableHash(unit, salt));
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
    site.drained = std::any_of(
        rules.drains.begin(), rules.drains.end(),
        [&](const DrainRule& drain) { return Covers(drain, rules, rule); });
    has_drain_ |= site.drained;
    equal_weights_ &= rule.weight == rules.sites.front().weight;
  }
  for (const ShareRule& rule : rules.shares) {
    std::vector<Share>& row = shares_[rule.from.value];
    const double begin = row.empty() ? 0 : row.back().end;
    row.push_back({rule.to.value, begin + rule.share.value});
  }
}

CandidateList SitePolicy::NearDomain(const std::string& domain) const {
  const auto home =
      std::find_if(domains_.begin(), domains_.end(),
                   [&](const DomainRule& rule) { return rule.name == domain; });
  std::vector<Candidate> all;
  for (size_t i = 0; i < site_rules_.size(); ++i) {
    const RegionId region = domains_[site_rules_[i].domain.value].region;
    const bool near = home != domains_.end() && region == home->region;
    all.push_back({site_ids_[i], static_cast<uint8_t>(near ? 0 : 1)});
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

struct SitePolicy::Ranked {
  SiteId site;
  Standing standing = Standing::kDead;
  uint8_t tier = 0;

  bool EqualTo(const Ranked& other) const {
    return standing == other.standing && tier == other.tier;
  }
  // True when this one is listed before `other`, whatever the unit.
  bool Before(const Ranked& other) const {
    return standing != other.standing ? standing < other.standing
                                      : tier < other.tier;
  }
};

SitePolicy::Ranked SitePolicy::Rank(const Candidate& candidate,
                                    int target_region,
                                    uint64_t unit,
                                    const std::vector<SiteGate>& gates) const {
  const Site& site = sites_[candidate.site.value];
  const SiteGate& gate = gates[candidate.site.value];
  Ranked ranked;
  ranked.site = candidate.site;
  ranked.tier = target_region == site.region
                    ? 0
                    : static_cast<uint8_t>(candidate.tier + 1);
  if (!gate.live) {
    ranked.standing = Standing::kDead;
  } else if (site.drained || gate.leaving) {
    ranked.standing = Standing::kDraining;
  } else if (gate.admit < 1 &&
             UnitPoint(unit, site.salt ^ kAdmitPoint) >= gate.admit) {
    ranked.standing = Standing::kFull;
  } else {
    ranked.standing = Standing::kAdmits;
  }
  return ranked;
}

// Weighted rendezvous: a site that goes away moves only its own clients.
float SitePolicy::Score(SiteId id, uint64_t unit_hash) const {
  const Site& site = sites_[id.value];
  const auto point =
      static_cast<float>(HashToUnit(MixHash(unit_hash, site.salt)));
  return equal_weights_ ? point : std::log(point) * site.inverse_weight;
}

void SitePolicy::OrderEqual(SiteId* run,
                            size_t count,
                            uint64_t unit_hash) const {
  if (count == 2) {
    const std::array<SiteId, 2> pair = {run[0], run[1]};
    const bool swap = Score(pair[1], unit_hash) > Score(pair[0], unit_hash);
    run[0] = pair[swap ? 1 : 0];
    run[1] = pair[swap ? 0 : 1];
    return;
  }
  std::array<float, limits::kMaxOrderSites> scores{};
  for (size_t i = 0; i < count; ++i) {
    const SiteId site = run[i];
    const float score = Score(site, unit_hash);
    size_t place = i;
    while (place > 0 && score > scores[place - 1]) {
      scores[place] = scores[place - 1];
      run[place] = run[place - 1];
      --place;
    }
    scores[place] = score;
    run[place] = site;
  }
}

int SitePolicy::TargetRegion(const CandidateList& near,
                             uint64_t unit,
                             bool* shared) const {
  for (uint8_t i = 0; i < near.count; ++i) {
    const size_t site = near.items[i].site.value;
    if (site >= sites_.size() || !sites_[site].exists) {
      continue;
    }
    const std::vector<Share>& row = shares_[sites_[site].region];
    if (row.empty()) {
      return kNoTarget;
    }
    *shared = true;
    const double point = UnitPoint(unit, kSharePoint);
    for (const Share& share : row) {
      if (point < share.end) {
        return share.to;
      }
    }
    return kNoTarget;
  }
  return kNoTarget;
}

Arrangement SitePolicy::Arrange(const CandidateList& near,
                                uint64_t unit,
                                const std::vector<SiteGate>& gates) const {
  Arrangement result;
  bool shared = false;
  const int target = TargetRegion(near, unit, &shared);
  result.reusable = !shared;
  std::array<Ranked, limits::kMaxOrderSites> ranked{};
  for (uint8_t i = 0; i < near.count; ++i) {
    const Candidate& candidate = near.items[i];
    if (candidate.site.value >= sites_.size() ||
        !sites_[candidate.site.value].exists) {
      continue;
    }
    result.reusable &= gates[candidate.site.value].admit >= 1;
    const Ranked entry = Rank(candidate, target, unit, gates);
    size_t place = result.count++;
    while (place > 0 && entry.Before(ranked[place - 1])) {
      ranked[place] = ranked[place - 1];
      --place;
    }
    ranked[place] = entry;
  }
  result.last_resort =
      result.count == 0 || ranked[0].standing >= Standing::kDraining;
  if (!result.last_resort) {
    while (ranked[result.count - 1].standing >= Standing::kDraining) {
      --result.count;
    }
  }
  for (size_t i = 0; i < result.count; ++i) {
    result.sites[i] = ranked[i].site;
    const bool tie = i > 0 && ranked[i].EqualTo(ranked[i - 1]);
    result.ties |= static_cast<uint8_t>(tie ? 1U << i : 0);
  }
  return result;
}

LookupAnswer SitePolicy::Choose(const Arrangement& arrangement,
                                uint64_t unit) const {
  const size_t count = arrangement.count;
  std::array<SiteId, limits::kMaxOrderSites> sites = arrangement.sites;
  const uint64_t unit_hash = StableHash(unit, 0);
  size_t begin = 0;
  while (begin < std::min(count, kMaxAnswerSites)) {
    size_t end = begin + 1;
    while ((arrangement.ties >> end & 1) != 0) {
      ++end;
    }
    if (end - begin > 1) {
      OrderEqual(&sites[begin], end - begin, unit_hash);
    }
    begin = end;
  }
  LookupAnswer answer;
  answer.count = static_cast<uint8_t>(std::min(count, kMaxAnswerSites));
  std::copy_n(sites.begin(), answer.sites.size(), answer.sites.begin());
  return answer;
}

}  // namespace comfreystand::steer
