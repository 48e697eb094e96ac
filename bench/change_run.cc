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
constexpr int kBlocks = 2'000;
constexpr int kLookupsPerMs = 5;
constexpr Duration kFirstChange = seconds(5);
constexpr Duration kSecondChange = seconds(25);
constexpr Duration kSiteFails = seconds(40);
constexpr Duration kEnd = seconds(60);
constexpr Duration kRamp = seconds(15);
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

class Run {
 public:
  explicit Run(const ChangeScenario& scenario)
      : scenario_(scenario),
        random_(scenario.seed),
        nodes_(kNodes),
        settled_({.domain = kDomain}),
        changed_({.domain = kDomain}) {
    std::vector<double> weights;
    for (int rank = 1; rank <= kBlocks; ++rank) {
      weights.push_back(std::pow(rank, -scenario.skew));
    }
    std::shuffle(weights.begin(), weights.end(), random_);
    blocks_ =
        std::discrete_distribution<uint32_t>(weights.begin(), weights.end());
    settled_.SetRules(Rules(0));
    changed_.SetRules(Rules(0));
    for (Node& node : nodes_) {
      node.lookup = std::make_unique<SiteLookup>(
          steer::SiteLookupInit{.domain = kDomain});
      node.lookup->SetRules(Rules(0));
    }
  }

  ChangeOutcome Go() {
    for (; now_ < TimePoint(kEnd); now_ += milliseconds(1)) {
      Happen();
      for (int i = 0; i < kLookupsPerMs; ++i) {
        Look();
      }
      if (now_.time_since_epoch() % kPeriod == Duration(0)) {
        ClosePeriod();
      }
    }
    return std::move(outcome_);
  }

 private:
  struct Node {
    std::unique_ptr<SiteLookup> lookup;
    std::unique_ptr<ChangeGate> gate;
  };

  void Happen() {
    const Duration at = now_.time_since_epoch();
    if (at == kFirstChange || at == kSecondChange) {
      accepted_ = now_;
      ++drained_;
      changed_.SetRules(Rules(drained_));
      for (Node& node : nodes_) {
        StartChange(&node);
      }
    }
    if (at == kSiteFails) {
      settled_.SetSiteState("site-3", {.live = false});
      changed_.SetSiteState("site-3", {.live = false});
      for (Node& node : nodes_) {
        node.lookup->SetSiteState("site-3", {.live = false});
      }
    }
    if (drained_ > 0 && random_() * 0x1.0p-32 < kRestartsPerSecond / 1000) {
      StartChange(&nodes_[random_(kNodes)]);
    }
  }

  // Also what a restart does to a node: its counts are gone.
  void StartChange(Node* node) {
    node->gate = std::make_unique<ChangeGate>(
        steer::ChangeInit{.baseline = RuleVersion{1},
                          .cap = {Fraction{scenario_.cap}, kRamp},
                          .accepted = accepted_});
    node->lookup->SetChange(Rules(0), Rules(drained_), node->gate.get());
  }

  void Look() {
    const uint32_t block = blocks_(random_);
    Node& node = nodes_[random_(kNodes)];
    const LookupAnswer before = settled_.Answer(Client(block), now_);
    const LookupAnswer after = Answer(&node, block, before);
    ++total_;
    moved_ += after.sites[0] != before.sites[0] ? 1 : 0;
  }

  LookupAnswer Answer(Node* node, uint32_t block, const LookupAnswer& before) {
    switch (scenario_.policy) {
      case MovePolicy::kGate:
        return node->lookup->Answer(Client(block), now_);
      case MovePolicy::kHashOnly:
        return HashToUnit(StableHash(block, 1)) < HashShare()
                   ? changed_.Answer(Client(block), now_)
                   : before;
      case MovePolicy::kAtOnce:
        return changed_.Answer(Client(block), now_);
    }
    return before;
  }

  // The share of the units that would make up the cap if all were equal.
  double HashShare() const {
    const double ramp = std::chrono::duration<double>(now_ - accepted_) /
                        std::chrono::duration<double>(kRamp);
    const double affected = std::max(1, drained_) / 4.0;
    return std::min({ramp, 1.0, scenario_.cap / affected});
  }

  void ClosePeriod() {
    if (total_ == 0) {
      return;
    }
    outcome_.reached = static_cast<double>(moved_) / total_;
    outcome_.overshoot =
        std::max(outcome_.overshoot, outcome_.reached - scenario_.cap);
    outcome_.moved.points.emplace_back(
        std::chrono::duration<double>(now_.time_since_epoch()).count(),
        outcome_.reached);
    total_ = moved_ = 0;
  }

  ChangeScenario scenario_;
  pcg32 random_;
  std::vector<Node> nodes_;
  // What is answered without the change, and with all of it at once.
  SiteLookup settled_;
  SiteLookup changed_;
  std::discrete_distribution<uint32_t> blocks_;
  TimePoint now_;
  TimePoint accepted_;
  int drained_ = 0;
  int total_ = 0;
  int moved_ = 0;
  ChangeOutcome outcome_;
};

}  // namespace

ChangeOutcome RunChange(const ChangeScenario& scenario) {
  return Run(scenario).Go();
}

}  // namespace comfreystand::bench
