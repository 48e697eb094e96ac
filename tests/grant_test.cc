#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>

#include "comfreystand/steer/grant.h"

namespace comfreystand::steer {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodes = 4;
constexpr int kShare = 24;
constexpr Duration kTick = milliseconds(50);
constexpr Duration kRunTime = seconds(120);
const ServiceKey kService = ServiceKeyOf("register");

// Faults of a simulation run. Probabilities are per message (loss, duplicate)
// or per node and second (pause, restart, one_way_cut).
struct Faults {
  const char* name;
  double loss = 0;
  double duplicate = 0;
  Duration max_delay{0};
  double pause = 0;
  double restart = 0;
  double one_way_cut = 0;
  double drift = 0;
  // Faults injected into the ledger, which the checks must detect.
  Duration margin = limits::kGrantMargin;
  bool no_restart_wait = false;
};

// Simulates nodes that lend slots to each other over a faulty network, in
// virtual time. Checks that the requests that run on an owner's slots never
// exceed its share.
class GrantSimulation {
 public:
  GrantSimulation(const Faults& faults, uint64_t seed)
      : faults_(faults), random_(seed) {
    for (uint32_t id = 0; id < kNodes; ++id) {
      nodes_[id].id = id;
      nodes_[id].clock_rate = 1 + faults.drift * (id % 2 == 0 ? 1 : -1);
      StartNode(&nodes_[id]);
    }
  }

  void Run() {
    while (now_ < TimePoint(kRunTime)) {
      now_ += kTick;
      while (!events_.empty() && events_.begin()->first <= now_) {
        const auto event = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        event();
      }
      for (Node& node : nodes_) {
        Step(&node);
      }
      CheckShares();
    }
  }

  int max_excess = -kShare;
  uint64_t borrowed = 0;

 private:
  struct Node {
    uint32_t id = 0;
    // Speed of its clock relative to real time.
    double clock_rate = 1;
    uint64_t incarnation = 0;
    TimePoint paused_until;
    std::unique_ptr<GrantLedger> ledger;
    std::unique_ptr<GrantHolder> holder;
    // Real time at which messages to other nodes are delivered again.
    std::array<TimePoint, kNodes> cut_until{};
  };
  // A request that runs on an owner's slot. If its holder has crashed, it runs
  // until its deadline.
  struct SlotUse {
    TimePoint end;
    uint32_t user = 0;
    uint64_t incarnation = 0;
    uint32_t owner = 0;
    BorrowedSlot slot;
  };

  bool Chance(double probability) {
    return random_() * 0x1.0p-32 < probability;
  }
  bool ChancePerSecond(double rate) {
    return Chance(rate * std::chrono::duration<double>(kTick).count());
  }
  TimePoint LocalTime(const Node& node) const {
    const auto real = static_cast<double>(now_.time_since_epoch().count());
    return TimePoint(Duration(static_cast<int64_t>(real * node.clock_rate)) +
                     seconds(1000 * node.id));
  }

  void StartNode(Node* node) {
    ++node->incarnation;
    GrantInit init;
    init.node = NodeId(node->id);
    init.incarnation = Incarnation{node->incarnation};
    init.started =
        faults_.no_restart_wait ? TimePoint() - seconds(99) : LocalTime(*node);
    init.margin = faults_.margin;
    node->ledger = std::make_unique<GrantLedger>(init);
    node->ledger->SetShare(kService, Slots{kShare});
    node->holder = std::make_unique<GrantHolder>(init);
    std::erase_if(uses_, [&](const SlotUse& use) {
      return use.user == node->id && use.owner == node->id;
    });
  }

  void Send(const Node& from, uint32_t to, std::function<void(Node*)> handle) {
    const int copies = Chance(faults_.duplicate) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (from.cut_until[to] > now_ || Chance(faults_.loss)) {
        continue;
      }
      Duration delay = milliseconds(12);
      if (faults_.max_delay > Duration(0) && Chance(0.2)) {
        delay +=
            Duration(random_(static_cast<uint32_t>(faults_.max_delay.count())));
      }
      events_.emplace(now_ + delay,
                      [this, to, handle] { Deliver(to, handle); });
    }
  }

  void Deliver(uint32_t to, const std::function<void(Node*)>& handle) {
    Node* node = &nodes_[to];
    if (node->paused_until > now_) {
      events_.emplace(node->paused_until + kTick,
                      [this, to, handle] { Deliver(to, handle); });
      return;
    }
    handle(node);
  }

  void SendRequest(Node* node, uint32_t owner) {
    const SlotRequest slot_request{kService,
                                   Slots{static_cast<int>(random_(13))}};
    const wire::GrantRequest request = node->holder->MakeRequest(
        LocalTime(*node), NodeId(owner), {&slot_request, 1});
    const uint32_t holder = node->id;
    Send(*node, owner, [this, request, holder](Node* owner_node) {
      const wire::GrantReply reply =
          owner_node->ledger->OnRequest(LocalTime(*owner_node), request);
      Send(*owner_node, holder, [this, reply](Node* holder_node) {
        holder_node->holder->OnReply(LocalTime(*holder_node), reply);
      });
    });
  }

  void Step(Node* node) {
    if (node->paused_until > now_) {
      return;
    }
    if (ChancePerSecond(faults_.pause)) {
      node->paused_until = now_ + seconds(1 + random_(25));
      return;
    }
    if (ChancePerSecond(faults_.restart)) {
      StartNode(node);
    }
    for (uint32_t other = 0; other < kNodes; ++other) {
      if (ChancePerSecond(faults_.one_way_cut)) {
        node->cut_until[other] = now_ + seconds(random_(25));
      }
      if (other != node->id && ChancePerSecond(0.5)) {
        SendRequest(node, other);
      }
    }
    FinishUses(node);
    for (int i = 0; i < 3; ++i) {
      StartUse(node);
    }
  }

  void FinishUses(Node* node) {
    std::erase_if(uses_, [&](const SlotUse& use) {
      if (use.user != node->id || use.incarnation != node->incarnation ||
          use.end > now_) {
        return false;
      }
      if (use.owner == node->id) {
        node->ledger->ReleaseOwn(kService);
      } else {
        node->holder->Release(use.slot);
      }
      return true;
    });
  }

  void StartUse(Node* node) {
    const uint32_t owner = random_(kNodes);
    const Duration length = milliseconds(100 + random_(4000));
    SlotUse use{now_ + length, node->id, node->incarnation, owner, {}};
    if (owner == node->id) {
      if (node->ledger->AcquireOwn(LocalTime(*node), kService)) {
        uses_.push_back(use);
      }
      return;
    }
    const auto slot = node->holder->Acquire(
        LocalTime(*node), NodeId(owner), kService, LocalTime(*node) + length);
    if (slot) {
      use.slot = *slot;
      uses_.push_back(use);
      ++borrowed;
    }
  }

  // A request past its end occupies no slot: the backend server stopped it at
  // its deadline, even if the holder has crashed or is paused.
  void CheckShares() {
    std::erase_if(uses_, [&](const SlotUse& use) {
      return use.end <= now_ && nodes_[use.user].incarnation != use.incarnation;
    });
    std::array<int, kNodes> busy{};
    std::array<int, kNodes> held{};
    for (const SlotUse& use : uses_) {
      busy[use.owner] += use.end > now_ ? 1 : 0;
    }
    for (Node& node : nodes_) {
      held[node.id] += node.ledger->OwnUsed(kService).value;
      for (uint32_t owner = 0; owner < kNodes; ++owner) {
        held[owner] +=
            node.holder->Held(LocalTime(node), NodeId(owner), kService).value;
      }
    }
    for (int owner = 0; owner < kNodes; ++owner) {
      max_excess =
          std::max(max_excess, std::max(busy[owner], held[owner]) - kShare);
    }
  }

  Faults faults_;
  pcg32 random_;
  TimePoint now_;
  std::array<Node, kNodes> nodes_;
  std::vector<SlotUse> uses_;
  std::multimap<TimePoint, std::function<void()>> events_;
};

constexpr Faults kAllFaults = {.name = "all faults",
                               .loss = 0.1,
                               .duplicate = 0.1,
                               .max_delay = seconds(15),
                               .pause = 0.02,
                               .restart = 0.02,
                               .one_way_cut = 0.02,
                               .drift = 0.009};

TEST_CASE("own use and grants together never exceed the share") {
  const Faults table[] = {
      {.name = "no fault"},
      {.name = "loss", .loss = 0.3},
      {.name = "duplicates", .duplicate = 0.5},
      {.name = "late messages", .max_delay = seconds(30)},
      {.name = "pauses", .pause = 0.05},
      {.name = "restarts", .restart = 0.05},
      {.name = "one-way cuts", .one_way_cut = 0.05},
      {.name = "clock drift", .drift = 0.009},
      {.name = "late and duplicate messages",
       .duplicate = 0.5,
       .max_delay = seconds(30)},
      {.name = "pauses and clock drift", .pause = 0.05, .drift = 0.009},
      {.name = "restarts and late messages",
       .max_delay = seconds(30),
       .restart = 0.05},
      {.name = "one-way cuts and loss", .loss = 0.3, .one_way_cut = 0.05},
      kAllFaults,
  };
  for (const Faults& faults : table) {
    for (uint64_t seed = 1; seed <= 6; ++seed) {
      CAPTURE(faults.name);
      CAPTURE(seed);
      GrantSimulation simulation(faults, seed);
      simulation.Run();
      CHECK(simulation.max_excess <= 0);
      CHECK(simulation.borrowed > 100);
    }
  }
}

TEST_CASE("the simulation detects injected faults") {
  SUBCASE("an owner that reuses lent slots too early") {
    Faults faults = kAllFaults;
    faults.margin = -seconds(6);
    GrantSimulation simulation(faults, 1);
    simulation.Run();
    CHECK(simulation.max_excess > 0);
  }
  SUBCASE("an owner that uses and lends all slots right after a restart") {
    Faults faults = kAllFaults;
    faults.no_restart_wait = true;
    faults.restart = 0.1;
    GrantSimulation simulation(faults, 1);
    simulation.Run();
    CHECK(simulation.max_excess > 0);
  }
}

TEST_CASE("shares of a failure domain") {
  RuleSet rules;
  rules.regions = {{"west"}};
  rules.domains = {{"w1", RegionId(0), 2}, {"w2", RegionId(0), 1}};
  rules.services = {
      {"register", Slots{3}, 330, Duration(6000), Duration(0), ClassId()}};
  rules.placements = {{ServiceId(0), DomainId(0), 5},
                      {ServiceId(0), DomainId(1), 4}};
  SUBCASE("add up to its slots") {
    CHECK(OwnedSlots(rules, ServiceId(0), {DomainId(0), 0}).value == 8);
    CHECK(OwnedSlots(rules, ServiceId(0), {DomainId(0), 1}).value == 7);
    CHECK(OwnedSlots(rules, ServiceId(0), {DomainId(1), 0}).value == 12);
  }
  SUBCASE("are zero for positions that the rules don't have") {
    CHECK(OwnedSlots(rules, ServiceId(0), {DomainId(1), 1}).value == 0);
    CHECK_FALSE(PositionOf(rules, NodeId(3)).has_value());
  }
  SUBCASE("map nodes to positions and back") {
    for (uint32_t node = 0; node < 3; ++node) {
      CHECK(NodeAt(rules, *PositionOf(rules, NodeId(node))) == NodeId(node));
    }
  }
}

TEST_CASE("a ledger") {
  const TimePoint start(seconds(50));
  const TimePoint now = start + seconds(60);
  GrantInit init;
  init.node = NodeId(0);
  init.started = start;
  GrantLedger owner(init);
  owner.SetShare(kService, Slots{20});
  GrantInit holder_init;
  holder_init.node = NodeId(1);
  GrantHolder holder(holder_init);
  const auto request_slots = [&](TimePoint when, int want) {
    const SlotRequest slot_request{kService, Slots{want}};
    const auto request =
        holder.MakeRequest(when, NodeId(0), {&slot_request, 1});
    const auto reply = owner.OnRequest(when, request);
    holder.OnReply(when, reply);
    return holder.Held(when, NodeId(0), kService).value;
  };
  SUBCASE(
      "after a start lends nothing and uses only the part that is never lent") {
    CHECK(request_slots(start + seconds(5), 4) == 0);
    CHECK(owner.OwnFree(start + seconds(5), kService).value == 10);
    CHECK(request_slots(start + seconds(11), 4) == 4);
  }
  SUBCASE("lends half of what is left per request") {
    CHECK(request_slots(now, 20) == 5);
    CHECK(request_slots(now, 20) == 8);
  }
  SUBCASE("doesn't lend the slots that it expects to need itself") {
    owner.SetOwnDemand(kService, Slots{18});
    CHECK(request_slots(now, 20) == 1);
  }
  SUBCASE("counts a grant as lent until its holder must have stopped") {
    CHECK(request_slots(now, 4) == 4);
    CHECK(holder.Held(now + seconds(9), NodeId(0), kService).value == 4);
    CHECK(holder.Held(now + seconds(10), NodeId(0), kService).value == 0);
    CHECK(owner.Lent(now + seconds(10), kService).value == 4);
    CHECK(owner.Lent(now + seconds(11), kService).value == 0);
  }
  SUBCASE("frees slots at once when the holder requests fewer") {
    CHECK(request_slots(now, 4) == 4);
    CHECK(request_slots(now + seconds(1), 1) == 1);
    CHECK(owner.Lent(now + seconds(1), kService).value == 1);
  }
  SUBCASE("lets a holder use no slot for longer than the grant") {
    CHECK(request_slots(now, 4) == 4);
    CHECK(holder.Acquire(now, NodeId(0), kService, now + seconds(2)));
    CHECK_FALSE(holder.Acquire(now, NodeId(0), kService, now + seconds(20)));
  }
}

}  // namespace
}  // namespace comfreystand::steer
