#include "src/steer/lookup_policy.h"

#include <algorithm>
#include <cmath>
#include <tuple>

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
    site.weight = rule.weight;
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
  double score = 0;

  // True when this one is listed before `other`.
  bool Before(const Ranked& other) const {
    return std::tie(standing, tier, other.score) <
           std::tie(other.standing, other.tier, score);
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
  ranked.tier = static_cast<uint8_t>(candidate.tier + 1);
  if (target_region == site.region) {
    ranked.tier = 0;
  }
  // Weighted rendezvous: a site that goes away moves only its own clients.
  const double point = UnitPoint(unit, site.salt);
  ranked.score = equal_weights_ ? point : -site.weight / std::log(point);
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

int SitePolicy::TargetRegion(const CandidateList& near, uint64_t unit) const {
  for (uint8_t i = 0; i < near.count; ++i) {
    const size_t site = near.items[i].site.value;
    if (site >= sites_.size() || !sites_[site].exists) {
      continue;
    }
    const std::vector<Share>& row = shares_[sites_[site].region];
    if (row.empty()) {
      return kNoTarget;
    }
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

LookupAnswer SitePolicy::Choose(const CandidateList& near,
                                uint64_t unit,
                                const std::vector<SiteGate>& gates,
                                bool* last_resort) const {
  const int target = TargetRegion(near, unit);
  std::array<Ranked, limits::kMaxOrderSites> ranked;
  size_t count = 0;
  for (uint8_t i = 0; i < near.count; ++i) {
    const Candidate& candidate = near.items[i];
    if (candidate.site.value >= sites_.size() ||
        !sites_[candidate.site.value].exists) {
      continue;
    }
    const Ranked entry = Rank(candidate, target, unit, gates);
    size_t place = count++;
    while (place > 0 && entry.Before(ranked[place - 1])) {
      ranked[place] = ranked[place - 1];
      --place;
    }
    ranked[place] = entry;
  }
  LookupAnswer answer;
  *last_resort = count == 0 || ranked[0].standing >= Standing::kDraining;
  for (size_t i = 0; i < std::min(count, kMaxAnswerSites); ++i) {
    if (!*last_resort && ranked[i].standing >= Standing::kDraining) {
      break;
    }
    answer.sites[answer.count++] = ranked[i].site;
  }
  return answer;
}

}  // namespace comfreystand::steer
