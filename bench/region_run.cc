#include "bench/region_run.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <random>
#include <utility>

#include "bench/region_spill.h"
#include "comfreystand/steer/region.h"

namespace comfreystand::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using steer::GrantCall;
using steer::GrantInit;
using steer::RegionPlanner;
using steer::SlotPlacement;

constexpr uint16_t kRegions = kSpillRegions;
constexpr uint16_t kLost = 0;
constexpr Duration kLostAt = seconds(20);
constexpr Duration kCutAt = seconds(40);
constexpr Duration kHealAt = seconds(50);
constexpr Duration kEnd = seconds(75);
// Time over which callers come back to a region after the heal.
constexpr Duration kReturn = seconds(10);
constexpr Duration kDetection = seconds(3);
constexpr Duration kReportPeriod = seconds(1);
constexpr Duration kDeadline = seconds(2);
constexpr double kShortSeconds = 0.05;
constexpr double kLongSeconds = 1;
constexpr double kLongShare = 0.02;
constexpr double kMeanSeconds =
    kShortSeconds * (1 - kLongShare) + kLongSeconds * kLongShare;
// Of a lost region's callers, those that go to the nearer other region.
constexpr double kNearerShare = 0.7;
constexpr Duration kSample = milliseconds(250);
// Longest wait for a slot at an entry VM.
constexpr Duration kMaxWait = milliseconds(300);

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

class Run {
 public:
  explicit Run(const RegionScenario& scenario)
      : scenario_(scenario), rules_(scenario.rules), random_(scenario.seed) {
    Prepare();
  }

  RegionOutcome Go() {
    const size_t services = rules_.services.size();
    for (uint16_t region = 0; region < kRegions; ++region) {
      for (uint16_t service = 0; service < services; ++service) {
        At(Duration(0), [this, region, service] { Arrive(region, service); });
      }
    }
    At(kLostAt, [this] { Lose(); });
    At(kCutAt, [this] { cut_ = true; });
    At(kHealAt, [this] { Heal(); });
    At(Duration(0), [this] { Report(); });
    At(Duration(0), [this] { Sample(); });
    while (!events_.empty() && events_.begin()->first <= TimePoint(kEnd)) {
      const auto event = std::move(*events_.begin());
      events_.erase(events_.begin());
      Advance(event.first);
      event.second();
    }
    return std::move(outcome_);
  }

 private:
  struct Waiting {
    TimePoint arrival;
    Duration length{0};
  };
  struct Node {
    NodeId id;
    uint16_t region = 0;
    bool alive = true;
    uint64_t life = 0;
    std::unique_ptr<RegionPlanner> planner;
    // Requests that wait for a slot, by service.
    std::vector<std::deque<Waiting>> queues;
  };
  using Counts = std::vector<std::array<int, kRegions>>;

  void Prepare() {
    slots_.resize(rules_.services.size());
    busy_ = slots_;
    view_ = slots_;
    for (const PlacementRule& rule : rules_.placements) {
      const uint16_t region = rules_.domains[rule.domain.value].region.value;
      slots_[rule.service.value][region] +=
          rule.backends *
          rules_.services[rule.service.value].slots_per_backend.value;
    }
    for (uint16_t region = 0; region < kRegions; ++region) {
      outcome_.load.push_back({rules_.regions[region].name, {}});
    }
    NodeId id(0);
    while (const auto place = steer::PositionOf(rules_, id)) {
      Node node;
      node.id = id;
      node.region = rules_.domains[place->domain.value].region.value;
      nodes_.push_back(std::move(node));
      ++id.value;
    }
    for (Node& node : nodes_) {
      // Long up before the run begins.
      Start(&node, TimePoint() - seconds(60));
      At(milliseconds(random_(2000)), [this, &node] { Renew(&node); });
    }
  }

  void Start(Node* node, TimePoint started) {
    GrantInit init;
    init.node = node->id;
    init.incarnation = Incarnation{++node->life};
    init.started = started;
    node->alive = true;
    node->planner = std::make_unique<RegionPlanner>(init);
    node->planner->SetRules(rules_);
    node->queues.assign(rules_.services.size(), {});
  }

  void At(Duration when, std::function<void()> task) {
    events_.emplace(TimePoint(when), std::move(task));
  }
  void After(Duration delay, std::function<void()> task) {
    At(now_.time_since_epoch() + delay, std::move(task));
  }
  double Uniform() { return random_() * 0x1.0p-32; }

  // Accounts for the time since the last event.
  void Advance(TimePoint to) {
    bool over = false;
    for (size_t service = 0; service < slots_.size(); ++service) {
      for (uint16_t region = 0; region < kRegions; ++region) {
        if (region == kLost && lost_) {
          continue;
        }
        const int busy = busy_[service][region];
        const int slots = slots_[service][region];
        over |= busy > slots;
        outcome_.headroom_min =
            std::min(outcome_.headroom_min, 1 - 1.0 * busy / slots);
      }
    }
    outcome_.overload_s += over ? ToSeconds(to - now_) : 0;
    now_ = to;
  }

  void Sample() {
    for (uint16_t region = 0; region < kRegions; ++region) {
      int busy = 0;
      int slots = 0;
      for (size_t service = 0; service < slots_.size(); ++service) {
        busy += busy_[service][region];
        slots += slots_[service][region];
      }
      const double load = region == kLost && lost_ ? 0 : 1.0 * busy / slots;
      outcome_.load[region].points.emplace_back(
          ToSeconds(now_.time_since_epoch()), load);
    }
    for (const LinkRule& link : rules_.links) {
      double& bytes = link_bytes_[{link.a.value, link.b.value}];
      outcome_.link_max =
          std::max(outcome_.link_max,
                   bytes / ToSeconds(kSample) /
                       static_cast<double>(link.bytes_per_second.value));
      bytes = 0;
    }
    After(kSample, [this] { Sample(); });
  }

  bool Connected(uint16_t a, uint16_t b) const {
    const bool lost = lost_ && a != b && (a == kLost || b == kLost);
    return a == b || (!lost && !cut_);
  }

  void Lose() {
    lost_ = true;
    for (size_t service = 0; service < slots_.size(); ++service) {
      busy_[service][kLost] = 0;
    }
    ++lost_epoch_;
    for (Node& node : nodes_) {
      node.alive &= node.region != kLost;
    }
    After(kDetection, [this] { SetReachable(false); });
  }

  void SetReachable(bool reachable) {
    for (const Node& to : nodes_) {
      for (Node& node : nodes_) {
        if (to.region == kLost && node.region != kLost) {
          node.planner->SetReachable(to.id, reachable);
        }
      }
    }
  }

  void Heal() {
    lost_ = false;
    cut_ = false;
    for (Node& node : nodes_) {
      if (node.region == kLost) {
        Start(&node, now_);
      }
    }
    After(kDetection, [this] { SetReachable(true); });
  }

  void Renew(Node* node) {
    After(limits::kGrantRenewal, [this, node] { Renew(node); });
    if (!node->alive || scenario_.policy != SpillPolicy::kGrants) {
      return;
    }
    for (GrantCall& call : node->planner->Renew(now_)) {
      Node* owner = &nodes_[call.owner.value];
      Send(*node, owner, [this, node, owner, request = call.request] {
        const auto reply = owner->planner->OnRequest(now_, request);
        Send(*owner, node, [this, node, reply] {
          node->planner->OnReply(now_, reply);
          ServeWaiting(node);
        });
      });
    }
  }

  void Send(const Node& from, Node* to, std::function<void()> deliver) {
    if (!Connected(from.region, to->region)) {
      return;
    }
    const Duration delay =
        from.region == to->region ? milliseconds(2) : scenario_.region_delay;
    After(delay, [to, deliver = std::move(deliver)] {
      if (to->alive) {
        deliver();
      }
    });
  }

  void Report() {
    if (!scenario_.reports_stop || !lost_) {
      view_ = busy_;
    }
    After(kReportPeriod, [this] { Report(); });
  }

  // Region whose entry VMs a caller uses now.
  uint16_t EntryRegion(uint16_t home) {
    const double returned =
        now_ < TimePoint(kHealAt)
            ? 0
            : ToSeconds(now_ - TimePoint(kHealAt)) / ToSeconds(kReturn);
    const bool away =
        home == kLost && now_ >= TimePoint(kLostAt) && Uniform() >= returned;
    if (!away) {
      return home;
    }
    return Uniform() < kNearerShare ? 1 : 2;
  }

  void Arrive(uint16_t home, uint16_t service) {
    const double rate = scenario_.load * slots_[service][home] / kMeanSeconds;
    const double gap = std::exponential_distribution<>(rate)(random_);
    After(Duration(static_cast<int64_t>(gap * 1e6)),
          [this, home, service] { Arrive(home, service); });
    const uint16_t entry = EntryRegion(home);
    std::vector<Node*> candidates;
    std::vector<double> weights;
    for (Node& node : nodes_) {
      if (node.region == entry && node.alive) {
        candidates.push_back(&node);
        weights.push_back(steer::OwnedSlots(rules_, ServiceId(service),
                                            *steer::PositionOf(rules_, node.id))
                              .value);
      }
    }
    std::discrete_distribution<size_t> pick(weights.begin(), weights.end());
    Serve(candidates[pick(random_)], service);
  }

  void Serve(Node* node, uint16_t service) {
    const bool is_long = Uniform() < kLongShare;
    const double mean = is_long ? kLongSeconds : kShortSeconds;
    const double drawn = std::exponential_distribution<>(1 / mean)(random_);
    const Duration length =
        std::min(kDeadline, Duration(static_cast<int64_t>(drawn * 1e6)));
    if (scenario_.policy == SpillPolicy::kProportional) {
      Begin(node, service, SpillTo(node->region, service), length,
            std::nullopt);
      return;
    }
    if (!Place(node, service, length)) {
      node->queues[service].push_back({now_, length});
      After(kMaxWait, [this, node] { DropLate(node); });
    }
  }

  bool Place(Node* node, uint16_t service, Duration length) {
    const auto placement = node->planner->PlaceRequest(
        now_, ServiceId(service), now_ + kDeadline, scenario_.answer_bytes);
    if (!placement) {
      return false;
    }
    const uint16_t region =
        rules_.domains[placement->domain.value].region.value;
    Begin(node, service, region, length, placement);
    return true;
  }

  void DropLate(Node* node) {
    for (auto& queue : node->queues) {
      while (!queue.empty() && queue.front().arrival + kMaxWait <= now_) {
        queue.pop_front();
        ++outcome_.refused;
      }
    }
  }

  void ServeWaiting(Node* node) {
    for (size_t service = 0; service < node->queues.size(); ++service) {
      auto& queue = node->queues[service];
      while (!queue.empty() && Place(node, static_cast<uint16_t>(service),
                                     queue.front().length)) {
        queue.pop_front();
      }
    }
  }

  uint16_t SpillTo(uint16_t home, uint16_t service) {
    std::array<bool, kRegions> connected{};
    for (uint16_t region = 0; region < kRegions; ++region) {
      connected[region] = Connected(home, region);
    }
    return SpillByView(home, slots_[service], view_[service], connected,
                       Uniform());
  }

  void Begin(Node* node,
             uint16_t service,
             uint16_t region,
             Duration length,
             const std::optional<SlotPlacement>& placement) {
    const bool runs = Connected(node->region, region);
    const uint64_t epoch = lost_epoch_;
    const uint64_t life = node->life;
    outcome_.failed += runs ? 0 : 1;
    outcome_.answered += runs ? 1 : 0;
    busy_[service][region] += runs ? 1 : 0;
    if (node->region != region) {
      const auto ends = std::minmax(node->region, region);
      link_bytes_[{ends.first, ends.second}] +=
          static_cast<double>(scenario_.answer_bytes.value);
    }
    After(length, [=, this] {
      const bool ended = region == kLost && epoch != lost_epoch_;
      busy_[service][region] -= runs && !ended ? 1 : 0;
      if (placement && node->life == life) {
        node->planner->Finish(now_, *placement, scenario_.answer_bytes);
        ServeWaiting(node);
      }
    });
  }

  const RegionScenario& scenario_;
  const RuleSet& rules_;
  pcg32 random_;
  TimePoint now_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::vector<Node> nodes_;
  Counts slots_;
  Counts busy_;
  Counts view_;
  std::map<std::pair<uint16_t, uint16_t>, double> link_bytes_;
  bool lost_ = false;
  bool cut_ = false;
  uint64_t lost_epoch_ = 0;
  RegionOutcome outcome_;
};

}  // namespace

RegionOutcome RunRegions(const RegionScenario& scenario) {
  return Run(scenario).Go();
}

}  // namespace comfreystand::bench
