#include "bench/change_run.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <pcg_random.hpp>
#include <random>
#include <string>
#include <vector>

#include "comfreystand/steer/change.h"
#include "comfreystand/steer/lookup.h"

namespace comfreystand::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using steer::ChangeGate;
using steer::ClientAddress;
using steer::LookupAnswer;
using steer::SiteLookup;

constexpr int kNodes = 7;
constexpr int kClientBlocks = 2'000;
constexpr int kLookupsPerMs = 5;
constexpr Duration kFirstChange = seconds(5);
constexpr Duration kSecondChange = seconds(25);
constexpr Duration kSiteFailure = seconds(40);
constexpr Duration kRunLength = seconds(60);
constexpr Duration kRampDuration = seconds(15);
constexpr Duration kPeriod = limits::kCapPeriod;
constexpr double kRestartsPerSecond = 0.1;
constexpr const char* kDomain = "west-1";

RuleSet Rules(int drained_sites) {
  RuleSet rules;
  rules.regions = {{"west"}};
  rules.domains = {{kDomain, RegionId(0), kNodes}};
  for (int site = 0; site < 4; ++site) {
    rules.sites.push_back({"site-" + std::to_string(site), DomainId(0), 1});
  }
  for (int site = 0; site < drained_sites; ++site) {
    rules.drains.push_back(
        {DrainRule::Scope::kSite, "site-" + std::to_string(site)});
  }
  return rules;
}

ClientAddress Client(uint32_t block) {
  ClientAddress address;
  address.bytes[10] = address.bytes[11] = 0xff;
  address.bytes[12] = 10;
  address.bytes[13] = static_cast<uint8_t>(block >> 8);
  address.bytes[14] = static_cast<uint8_t>(block);
  return address;
}

class ChangeSimulation {
 public:
  explicit ChangeSimulation(const ChangeScenario& scenario)
      : scenario_(scenario),
        random_(scenario.seed),
        nodes_(kNodes),
        baseline_lookup_({.domain = kDomain}),
        changed_lookup_({.domain = kDomain}) {
    std::vector<double> weights;
    for (int rank = 1; rank <= kClientBlocks; ++rank) {
      weights.push_back(std::pow(rank, -scenario.skew));
    }
    std::shuffle(weights.begin(), weights.end(), random_);
    random_block_ =
        std::discrete_distribution<uint32_t>(weights.begin(), weights.end());
    baseline_lookup_.SetRules(Rules(0));
    changed_lookup_.SetRules(Rules(0));
    for (Node& node : nodes_) {
      node.lookup = std::make_unique<SiteLookup>(
          steer::SiteLookupInit{.domain = kDomain});
      node.lookup->SetRules(Rules(0));
    }
  }

  ChangeOutcome Execute() {
    for (; now_ < TimePoint(kRunLength); now_ += milliseconds(1)) {
      ApplyEvents();
      for (int i = 0; i < kLookupsPerMs; ++i) {
        SimulateLookup();
      }
      if (now_.time_since_epoch() % kPeriod == Duration(0)) {
        FinishPeriod();
      }
    }
    return std::move(outcome_);
  }

 private:
  struct Node {
    std::unique_ptr<SiteLookup> lookup;
    std::unique_ptr<ChangeGate> gate;
  };

  // Applies the events due at the current time: rule changes, the failure of a
  // site, and random restarts of nodes.
  void ApplyEvents() {
    const Duration at = now_.time_since_epoch();
    if (at == kFirstChange || at == kSecondChange) {
      last_change_ = now_;
      ++drained_sites_;
      changed_lookup_.SetRules(Rules(drained_sites_));
      for (Node& node : nodes_) {
        StartChange(&node);
      }
    }
    if (at == kSiteFailure) {
      baseline_lookup_.SetSiteState("site-3", {.live = false});
      changed_lookup_.SetSiteState("site-3", {.live = false});
      for (Node& node : nodes_) {
        node.lookup->SetSiteState("site-3", {.live = false});
      }
    }
    if (drained_sites_ > 0 &&
        random_() * 0x1.0p-32 < kRestartsPerSecond / 1000) {
      StartChange(&nodes_[random_(kNodes)]);
    }
  }

  // Starts the change on a node with its traffic counts at zero, as after a
  // restart of the node.
  void StartChange(Node* node) {
    node->gate = std::make_unique<ChangeGate>(
        steer::ChangeInit{.baseline = RuleVersion{1},
                          .cap = {Fraction{scenario_.cap}, kRampDuration},
                          .accepted = last_change_});
    node->lookup->SetChange(Rules(0), Rules(drained_sites_), node->gate.get());
  }

  // Answers one look-up of a random client at a random node and counts whether
  // its first site moved.
  void SimulateLookup() {
    const uint32_t block = random_block_(random_);
    Node& node = nodes_[random_(kNodes)];
    const LookupAnswer before = baseline_lookup_.Answer(Client(block), now_);
    const LookupAnswer after = Answer(&node, block, before);
    ++period_lookups_;
    period_moved_ += after.sites[0] != before.sites[0] ? 1 : 0;
  }

  LookupAnswer Answer(Node* node, uint32_t block, const LookupAnswer& before) {
    switch (scenario_.policy) {
      case MovePolicy::kGate:
        return node->lookup->Answer(Client(block), now_);
      case MovePolicy::kHashOnly:
        return HashToUnitInterval(StableHash(block, 1)) < HashShare()
                   ? changed_lookup_.Answer(Client(block), now_)
                   : before;
      case MovePolicy::kImmediate:
        return changed_lookup_.Answer(Client(block), now_);
    }
    return before;
  }

  // Share of the client blocks that would carry the capped traffic if all
  // blocks had equal traffic.
  double HashShare() const {
    const double ramp = std::chrono::duration<double>(now_ - last_change_) /
                        std::chrono::duration<double>(kRampDuration);
    const double affected = std::max(1, drained_sites_) / 4.0;
    return std::min({ramp, 1.0, scenario_.cap / affected});
  }

  void FinishPeriod() {
    if (period_lookups_ == 0) {
      return;
    }
    outcome_.moved_share = static_cast<double>(period_moved_) / period_lookups_;
    outcome_.overshoot =
        std::max(outcome_.overshoot, outcome_.moved_share - scenario_.cap);
    outcome_.moved.points.emplace_back(
        std::chrono::duration<double>(now_.time_since_epoch()).count(),
        outcome_.moved_share);
    period_lookups_ = period_moved_ = 0;
  }

  ChangeScenario scenario_;
  pcg32 random_;
  std::vector<Node> nodes_;
  // Look-ups without the changes, and with them fully applied.
  SiteLookup baseline_lookup_;
  SiteLookup changed_lookup_;
  std::discrete_distribution<uint32_t> random_block_;
  TimePoint now_;
  TimePoint last_change_;
  int drained_sites_ = 0;
  int period_lookups_ = 0;
  int period_moved_ = 0;
  ChangeOutcome outcome_;
};

}  // namespace

ChangeOutcome RunChange(const ChangeScenario& scenario) {
  return ChangeSimulation(scenario).Execute();
}

}  // namespace comfreystand::bench
