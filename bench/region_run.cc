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
constexpr uint16_t kLostRegion = 0;
constexpr Duration kLossTime = seconds(20);
constexpr Duration kPartitionTime = seconds(40);
constexpr Duration kRecoveryTime = seconds(50);
constexpr Duration kRunLength = seconds(75);
// Time over which callers return to the lost region after its recovery.
constexpr Duration kCallerReturnTime = seconds(10);
constexpr Duration kFailureDetection = seconds(3);
constexpr Duration kLoadReportPeriod = seconds(1);
constexpr Duration kDeadline = seconds(2);
constexpr double kShortSeconds = 0.05;
constexpr double kLongSeconds = 1;
constexpr double kLongShare = 0.02;
constexpr double kMeanSeconds =
    kShortSeconds * (1 - kLongShare) + kLongSeconds * kLongShare;
// Share of the lost region's callers that go to the nearer of the other
// regions.
constexpr double kNearerShare = 0.7;
constexpr Duration kSampleInterval = milliseconds(250);
// Longest wait for a slot at an entry VM.
constexpr Duration kMaxWait = milliseconds(300);

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

class RegionSimulation {
 public:
  explicit RegionSimulation(const RegionScenario& scenario)
      : scenario_(scenario), rules_(scenario.rules), random_(scenario.seed) {
    CreateNodes();
  }

  RegionOutcome Execute() {
    const size_t services = rules_.services.size();
    for (uint16_t region = 0; region < kRegions; ++region) {
      for (uint16_t service = 0; service < services; ++service) {
        ScheduleAt(Duration(0),
                   [this, region, service] { SubmitRequest(region, service); });
      }
    }
    ScheduleAt(kLossTime, [this] { LoseRegion(); });
    ScheduleAt(kPartitionTime, [this] { partitioned_ = true; });
    ScheduleAt(kRecoveryTime, [this] { Recover(); });
    ScheduleAt(Duration(0), [this] { PublishLoadReport(); });
    ScheduleAt(Duration(0), [this] { SampleLoad(); });
    while (!events_.empty() &&
           events_.begin()->first <= TimePoint(kRunLength)) {
      const auto event = std::move(*events_.begin());
      events_.erase(events_.begin());
      Advance(event.first);
      event.second();
    }
    return std::move(outcome_);
  }

 private:
  struct QueuedRequest {
    TimePoint arrival;
    Duration duration{0};
  };
  struct Node {
    NodeId id;
    uint16_t region = 0;
    bool running = true;
    uint64_t incarnation = 0;
    std::unique_ptr<RegionPlanner> planner;
    // Requests waiting for a slot, by service.
    std::vector<std::deque<QueuedRequest>> queues;
  };
  using Counts = std::vector<std::array<int, kRegions>>;

  void CreateNodes() {
    slots_.resize(rules_.services.size());
    busy_ = slots_;
    reported_busy_ = slots_;
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
    while (const auto position = steer::PositionOf(rules_, id)) {
      Node node;
      node.id = id;
      node.region = rules_.domains[position->domain.value].region.value;
      nodes_.push_back(std::move(node));
      ++id.value;
    }
    for (Node& node : nodes_) {
      // Nodes have been running for a while when the simulation begins.
      Start(&node, TimePoint() - seconds(60));
      ScheduleAt(milliseconds(random_(2000)),
                 [this, &node] { RenewGrants(&node); });
    }
  }

  void Start(Node* node, TimePoint started) {
    GrantInit init;
    init.node = node->id;
    init.incarnation = Incarnation{++node->incarnation};
    init.started = started;
    node->running = true;
    node->planner = std::make_unique<RegionPlanner>(init);
    node->planner->SetRules(rules_);
    node->queues.assign(rules_.services.size(), {});
  }

  void ScheduleAt(Duration when, std::function<void()> task) {
    events_.emplace(TimePoint(when), std::move(task));
  }
  void ScheduleAfter(Duration delay, std::function<void()> task) {
    ScheduleAt(now_.time_since_epoch() + delay, std::move(task));
  }
  double Uniform() { return random_() * 0x1.0p-32; }

  // Moves the time to `to` and accounts for the load since the last event.
  void Advance(TimePoint to) {
    bool overloaded = false;
    for (size_t service = 0; service < slots_.size(); ++service) {
      for (uint16_t region = 0; region < kRegions; ++region) {
        if (region == kLostRegion && lost_) {
          continue;
        }
        const int busy = busy_[service][region];
        const int slots = slots_[service][region];
        overloaded |= busy > slots;
        outcome_.min_headroom =
            std::min(outcome_.min_headroom, 1 - 1.0 * busy / slots);
      }
    }
    outcome_.overload_s += overloaded ? ToSeconds(to - now_) : 0;
    now_ = to;
  }

  void SampleLoad() {
    for (uint16_t region = 0; region < kRegions; ++region) {
      int busy = 0;
      int slots = 0;
      for (size_t service = 0; service < slots_.size(); ++service) {
        busy += busy_[service][region];
        slots += slots_[service][region];
      }
      const double load =
          region == kLostRegion && lost_ ? 0 : 1.0 * busy / slots;
      outcome_.load[region].points.emplace_back(
          ToSeconds(now_.time_since_epoch()), load);
    }
    for (const LinkRule& link : rules_.links) {
      double& bytes = link_bytes_[{link.a.value, link.b.value}];
      outcome_.max_link_load =
          std::max(outcome_.max_link_load,
                   bytes / ToSeconds(kSampleInterval) /
                       static_cast<double>(link.bytes_per_second.value));
      bytes = 0;
    }
    ScheduleAfter(kSampleInterval, [this] { SampleLoad(); });
  }

  bool AreConnected(uint16_t a, uint16_t b) const {
    const bool lost = lost_ && a != b && (a == kLostRegion || b == kLostRegion);
    return a == b || (!lost && !partitioned_);
  }

  void LoseRegion() {
    lost_ = true;
    for (size_t service = 0; service < slots_.size(); ++service) {
      busy_[service][kLostRegion] = 0;
    }
    ++loss_count_;
    for (Node& node : nodes_) {
      node.running &= node.region != kLostRegion;
    }
    ScheduleAfter(kFailureDetection, [this] { SetReachable(false); });
  }

  void SetReachable(bool reachable) {
    for (const Node& to : nodes_) {
      for (Node& node : nodes_) {
        if (to.region == kLostRegion && node.region != kLostRegion) {
          node.planner->SetReachable(to.id, reachable);
        }
      }
    }
  }

  void Recover() {
    lost_ = false;
    partitioned_ = false;
    for (Node& node : nodes_) {
      if (node.region == kLostRegion) {
        Start(&node, now_);
      }
    }
    ScheduleAfter(kFailureDetection, [this] { SetReachable(true); });
  }

  void RenewGrants(Node* node) {
    ScheduleAfter(limits::kGrantRenewalInterval,
                  [this, node] { RenewGrants(node); });
    if (!node->running || scenario_.policy != SpillPolicy::kGrants) {
      return;
    }
    for (GrantCall& call : node->planner->Renew(now_)) {
      Node* owner = &nodes_[call.owner.value];
      Send(*node, owner, [this, node, owner, request = call.request] {
        const auto reply = owner->planner->OnRequest(now_, request);
        Send(*owner, node, [this, node, reply] {
          node->planner->OnReply(now_, reply);
          ServeQueues(node);
        });
      });
    }
  }

  void Send(const Node& from, Node* to, std::function<void()> deliver) {
    if (!AreConnected(from.region, to->region)) {
      return;
    }
    const Duration delay =
        from.region == to->region ? milliseconds(2) : scenario_.region_delay;
    ScheduleAfter(delay, [to, deliver = std::move(deliver)] {
      if (to->running) {
        deliver();
      }
    });
  }

  void PublishLoadReport() {
    if (!scenario_.reports_stop || !lost_) {
      reported_busy_ = busy_;
    }
    ScheduleAfter(kLoadReportPeriod, [this] { PublishLoadReport(); });
  }

  // Region whose entry VMs a caller with home region `home` uses now.
  uint16_t EntryRegion(uint16_t home) {
    const double returned = now_ < TimePoint(kRecoveryTime)
                                ? 0
                                : ToSeconds(now_ - TimePoint(kRecoveryTime)) /
                                      ToSeconds(kCallerReturnTime);
    const bool away = home == kLostRegion && now_ >= TimePoint(kLossTime) &&
                      Uniform() >= returned;
    if (!away) {
      return home;
    }
    return Uniform() < kNearerShare ? 1 : 2;
  }

  void SubmitRequest(uint16_t home, uint16_t service) {
    const double rate = scenario_.load * slots_[service][home] / kMeanSeconds;
    const double gap = std::exponential_distribution<>(rate)(random_);
    ScheduleAfter(Duration(static_cast<int64_t>(gap * 1e6)),
                  [this, home, service] { SubmitRequest(home, service); });
    const uint16_t entry = EntryRegion(home);
    std::vector<Node*> entry_nodes;
    std::vector<double> weights;
    for (Node& node : nodes_) {
      if (node.region == entry && node.running) {
        entry_nodes.push_back(&node);
        weights.push_back(steer::OwnedSlots(rules_, ServiceId(service),
                                            *steer::PositionOf(rules_, node.id))
                              .value);
      }
    }
    std::discrete_distribution<size_t> choose_node(weights.begin(),
                                                   weights.end());
    PlaceOrQueue(entry_nodes[choose_node(random_)], service);
  }

  void PlaceOrQueue(Node* node, uint16_t service) {
    const bool is_long = Uniform() < kLongShare;
    const double mean = is_long ? kLongSeconds : kShortSeconds;
    const double seconds_drawn =
        std::exponential_distribution<>(1 / mean)(random_);
    const Duration duration = std::min(
        kDeadline, Duration(static_cast<int64_t>(seconds_drawn * 1e6)));
    if (scenario_.policy == SpillPolicy::kProportional) {
      StartRequest(node, service, ChooseSpillRegion(node->region, service),
                   duration, std::nullopt);
      return;
    }
    if (!PlaceRequest(node, service, duration)) {
      node->queues[service].push_back({now_, duration});
      ScheduleAfter(kMaxWait, [this, node] { DropExpired(node); });
    }
  }

  bool PlaceRequest(Node* node, uint16_t service, Duration duration) {
    const auto placement = node->planner->PlaceRequest(
        now_, ServiceId(service), now_ + kDeadline, scenario_.answer_bytes);
    if (!placement) {
      return false;
    }
    const uint16_t region =
        rules_.domains[placement->domain.value].region.value;
    StartRequest(node, service, region, duration, placement);
    return true;
  }

  // Refuses the requests that have waited for kMaxWait.
  void DropExpired(Node* node) {
    for (auto& queue : node->queues) {
      while (!queue.empty() && queue.front().arrival + kMaxWait <= now_) {
        queue.pop_front();
        ++outcome_.refused;
      }
    }
  }

  void ServeQueues(Node* node) {
    for (size_t service = 0; service < node->queues.size(); ++service) {
      auto& queue = node->queues[service];
      while (!queue.empty() &&
             PlaceRequest(node, static_cast<uint16_t>(service),
                          queue.front().duration)) {
        queue.pop_front();
      }
    }
  }

  uint16_t ChooseSpillRegion(uint16_t home, uint16_t service) {
    std::array<bool, kRegions> connected{};
    for (uint16_t region = 0; region < kRegions; ++region) {
      connected[region] = AreConnected(home, region);
    }
    return ProportionalSpillRegion(
        home, slots_[service], reported_busy_[service], connected, Uniform());
  }

  void StartRequest(Node* node,
                    uint16_t service,
                    uint16_t region,
                    Duration duration,
                    const std::optional<SlotPlacement>& placement) {
    const bool reachable = AreConnected(node->region, region);
    const uint64_t loss_count = loss_count_;
    const uint64_t incarnation = node->incarnation;
    outcome_.failed += reachable ? 0 : 1;
    outcome_.answered += reachable ? 1 : 0;
    busy_[service][region] += reachable ? 1 : 0;
    if (node->region != region) {
      const auto ends = std::minmax(node->region, region);
      link_bytes_[{ends.first, ends.second}] +=
          static_cast<double>(scenario_.answer_bytes.value);
    }
    ScheduleAfter(duration, [=, this] {
      const bool lost_meanwhile =
          region == kLostRegion && loss_count != loss_count_;
      busy_[service][region] -= reachable && !lost_meanwhile ? 1 : 0;
      if (placement && node->incarnation == incarnation) {
        node->planner->Finish(now_, *placement, scenario_.answer_bytes);
        ServeQueues(node);
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
  Counts reported_busy_;
  std::map<std::pair<uint16_t, uint16_t>, double> link_bytes_;
  bool lost_ = false;
  bool partitioned_ = false;
  uint64_t loss_count_ = 0;
  RegionOutcome outcome_;
};

}  // namespace

RegionOutcome RunRegions(const RegionScenario& scenario) {
  return RegionSimulation(scenario).Execute();
}

}  // namespace comfreystand::bench
