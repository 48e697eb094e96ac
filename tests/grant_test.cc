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
constexpr Duration kRun = seconds(120);
const ServiceKey kService = ServiceKeyOf("register");

// What goes wrong in a run; probabilities are per message or per node and
// second.
struct Faults {
  const char* name;
  double loss = 0;
  double duplicate = 0;
  Duration late{0};
  double pause = 0;
  double restart = 0;
  double cut = 0;
  double drift = 0;
  // Faults planted into the ledger, which the checker must find.
  Duration margin = limits::kGrantMargin;
  bool no_quiet = false;
};

// Several nodes that lend to one another over a faulty network in virtual
// time. Checks that the work at each owner's slots never exceeds its share.
class History {
 public:
  History(const Faults& faults, uint64_t seed)
      : faults_(faults), random_(seed) {
    for (uint32_t id = 0; id < kNodes; ++id) {
      nodes_[id].id = id;
      nodes_[id].rate = 1 + faults.drift * (id % 2 == 0 ? 1 : -1);
      Start(&nodes_[id]);
    }
  }

  void Run() {
    while (now_ < TimePoint(kRun)) {
      now_ += kTick;
      while (!events_.empty() && events_.begin()->first <= now_) {
        const auto event = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        event();
      }
      for (Node& node : nodes_) {
        Step(&node);
      }
      Check();
    }
  }

  int worst_excess = -kShare;
  uint64_t borrowed = 0;

 private:
  struct Node {
    uint32_t id = 0;
    double rate = 1;
    uint64_t life = 0;
    TimePoint paused_until;
    std::unique_ptr<GrantLedger> ledger;
    std::unique_ptr<GrantHolder> holder;
    // Real time at which messages to other nodes pass again.
    std::array<TimePoint, kNodes> cut_until{};
  };
  // Work at an owner's slot; a dead holder's lasts until its deadline.
  struct Use {
    TimePoint end;
    uint32_t user = 0;
    uint64_t life = 0;
    uint32_t owner = 0;
    BorrowedSlot slot;
  };

  bool Chance(double probability) {
    return random_() * 0x1.0p-32 < probability;
  }
  bool ChancePerSecond(double rate) {
    return Chance(rate * std::chrono::duration<double>(kTick).count());
  }
  TimePoint Local(const Node& node) const {
    const auto real = static_cast<double>(now_.time_since_epoch().count());
    return TimePoint(Duration(static_cast<int64_t>(real * node.rate)) +
                     seconds(1000 * node.id));
  }

  void Start(Node* node) {
    ++node->life;
    GrantInit init;
    init.node = NodeId(node->id);
    init.incarnation = Incarnation{node->life};
    init.started = faults_.no_quiet ? TimePoint() - seconds(99) : Local(*node);
    init.margin = faults_.margin;
    node->ledger = std::make_unique<GrantLedger>(init);
    node->ledger->SetShare(kService, Slots{kShare});
    node->holder = std::make_unique<GrantHolder>(init);
    std::erase_if(uses_, [&](const Use& use) {
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
      if (faults_.late > Duration(0) && Chance(0.2)) {
        delay += Duration(random_(static_cast<uint32_t>(faults_.late.count())));
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

  void Ask(Node* node, uint32_t owner) {
    const SlotWish wish{kService, Slots{static_cast<int>(random_(13))}};
    const wire::GrantRequest request =
        node->holder->MakeRequest(Local(*node), NodeId(owner), {&wish, 1});
    const uint32_t asker = node->id;
    Send(*node, owner, [this, request, asker](Node* at) {
      const wire::GrantReply reply = at->ledger->OnRequest(Local(*at), request);
      Send(*at, asker, [this, reply](Node* back) {
        back->holder->OnReply(Local(*back), reply);
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
      Start(node);
    }
    for (uint32_t other = 0; other < kNodes; ++other) {
      if (ChancePerSecond(faults_.cut)) {
        node->cut_until[other] = now_ + seconds(random_(25));
      }
      if (other != node->id && ChancePerSecond(0.5)) {
        Ask(node, other);
      }
    }
    FinishUses(node);
    for (int i = 0; i < 3; ++i) {
      StartUse(node);
    }
  }

  void FinishUses(Node* node) {
    std::erase_if(uses_, [&](const Use& use) {
      if (use.user != node->id || use.life != node->life || use.end > now_) {
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
    Use use{now_ + length, node->id, node->life, owner, {}};
    if (owner == node->id) {
      if (node->ledger->AcquireOwn(Local(*node), kService)) {
        uses_.push_back(use);
      }
      return;
    }
    const auto slot = node->holder->Acquire(Local(*node), NodeId(owner),
                                            kService, Local(*node) + length);
    if (slot) {
      use.slot = *slot;
      uses_.push_back(use);
      ++borrowed;
    }
  }

  // A lapsed use no longer takes a slot: its backend server stopped at the
  // deadline, even if its holder is dead or paused.
  void Check() {
    std::erase_if(uses_, [&](const Use& use) {
      return use.end <= now_ && nodes_[use.user].life != use.life;
    });
    std::array<int, kNodes> busy{};
    std::array<int, kNodes> held{};
    for (const Use& use : uses_) {
      busy[use.owner] += use.end > now_ ? 1 : 0;
    }
    for (Node& node : nodes_) {
      held[node.id] += node.ledger->OwnUsed(kService).value;
      for (uint32_t owner = 0; owner < kNodes; ++owner) {
        held[owner] +=
            node.holder->Held(Local(node), NodeId(owner), kService).value;
      }
    }
    for (int owner = 0; owner < kNodes; ++owner) {
      worst_excess =
          std::max(worst_excess, std::max(busy[owner], held[owner]) - kShare);
    }
  }

  Faults faults_;
  pcg32 random_;
  TimePoint now_;
  std::array<Node, kNodes> nodes_;
  std::vector<Use> uses_;
  std::multimap<TimePoint, std::function<void()>> events_;
};

constexpr Faults kAll = {.name = "all at once",
                         .loss = 0.1,
                         .duplicate = 0.1,
                         .late = seconds(15),
                         .pause = 0.02,
                         .restart = 0.02,
                         .cut = 0.02,
                         .drift = 0.009};

TEST_CASE("the sum of grants stays within what exists") {
  const Faults table[] = {
      {.name = "no fault"},
      {.name = "loss", .loss = 0.3},
      {.name = "duplicates", .duplicate = 0.5},
      {.name = "late messages", .late = seconds(30)},
      {.name = "pauses", .pause = 0.05},
      {.name = "restarts", .restart = 0.05},
      {.name = "one-way cuts", .cut = 0.05},
      {.name = "clock rates", .drift = 0.009},
      {.name = "late and duplicate", .duplicate = 0.5, .late = seconds(30)},
      {.name = "pauses and clock rates", .pause = 0.05, .drift = 0.009},
      {.name = "restarts and late", .late = seconds(30), .restart = 0.05},
      {.name = "cuts and loss", .loss = 0.3, .cut = 0.05},
      kAll,
  };
  for (const Faults& faults : table) {
    for (uint64_t seed = 1; seed <= 6; ++seed) {
      CAPTURE(faults.name);
      CAPTURE(seed);
      History history(faults, seed);
      history.Run();
      CHECK(history.worst_excess <= 0);
      CHECK(history.borrowed > 100);
    }
  }
}

TEST_CASE("the checker of grants finds a planted fault") {
  SUBCASE("an owner that frees lent slots too early") {
    Faults faults = kAll;
    faults.margin = -seconds(6);
    History history(faults, 1);
    history.Run();
    CHECK(history.worst_excess > 0);
  }
  SUBCASE("a restarted owner that uses and lends at once") {
    Faults faults = kAll;
    faults.no_quiet = true;
    faults.restart = 0.1;
    History history(faults, 1);
    history.Run();
    CHECK(history.worst_excess > 0);
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
  SUBCASE("belong to no place beyond the rules") {
    CHECK(OwnedSlots(rules, ServiceId(0), {DomainId(1), 1}).value == 0);
    CHECK_FALSE(PlaceOf(rules, NodeId(3)).has_value());
  }
  SUBCASE("number the nodes by domain and place") {
    for (uint32_t node = 0; node < 3; ++node) {
      CHECK(NodeAt(rules, *PlaceOf(rules, NodeId(node))) == NodeId(node));
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
  const auto ask = [&](TimePoint when, int want) {
    const SlotWish wish{kService, Slots{want}};
    const auto request = holder.MakeRequest(when, NodeId(0), {&wish, 1});
    const auto reply = owner.OnRequest(when, request);
    holder.OnReply(when, reply);
    return holder.Held(when, NodeId(0), kService).value;
  };
  SUBCASE("after a start lends nothing and uses only what is never lent") {
    CHECK(ask(start + seconds(5), 4) == 0);
    CHECK(owner.OwnFree(start + seconds(5), kService).value == 10);
    CHECK(ask(start + seconds(11), 4) == 4);
  }
  SUBCASE("lends half of what is left at once and the rest later") {
    CHECK(ask(now, 20) == 5);
    CHECK(ask(now, 20) == 8);
  }
  SUBCASE("keeps what it expects to need") {
    owner.SetOwnDemand(kService, Slots{18});
    CHECK(ask(now, 20) == 1);
  }
  SUBCASE("counts a loan until its holder must have stopped") {
    CHECK(ask(now, 4) == 4);
    CHECK(holder.Held(now + seconds(9), NodeId(0), kService).value == 4);
    CHECK(holder.Held(now + seconds(10), NodeId(0), kService).value == 0);
    CHECK(owner.Lent(now + seconds(10), kService).value == 4);
    CHECK(owner.Lent(now + seconds(11), kService).value == 0);
  }
  SUBCASE("frees at once what a holder gives back") {
    CHECK(ask(now, 4) == 4);
    CHECK(ask(now + seconds(1), 1) == 1);
    CHECK(owner.Lent(now + seconds(1), kService).value == 1);
  }
  SUBCASE("lets no borrowed work outlast the loan") {
    CHECK(ask(now, 4) == 4);
    CHECK(holder.Acquire(now, NodeId(0), kService, now + seconds(2)));
    CHECK_FALSE(holder.Acquire(now, NodeId(0), kService, now + seconds(20)));
  }
}

}  // namespace
}  // namespace comfreystand::steer
