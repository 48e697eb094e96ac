#ifndef COMFREYSTAND_TESTS_SUPPORT_TEST_LEDGER_H_
#define COMFREYSTAND_TESTS_SUPPORT_TEST_LEDGER_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "comfreystand/hours.h"
#include "tests/support/test_fleet.h"

namespace comfreystand::testing {

// A clock that shows the virtual time of a loop.
class VirtualClock final : public Clock {
 public:
  explicit VirtualClock(const VirtualLoop& loop) : loop_(loop) {}
  TimePoint Now() const override { return loop_.Now(); }
  WallSeconds WallNow() const override { return loop_.WallNow(); }

 private:
  const VirtualLoop& loop_;
};

// The hour ledger of one incarnation, which uses the membership of its node.
class TestLedger final : public hours::LedgerPeers {
 public:
  TestLedger(TestFleet& fleet, TestNode& node)
      : node_(node),
        clock_(fleet.loop),
        ledger_(MakeInit(fleet, node),
                node.loop,
                clock_,
                *node.store,
                *node.transport,
                *this) {
    node.handler = [this](const wire::Envelope& request,
                          wire::Envelope* reply) {
      ledger_.Handle(request, reply);
    };
    ledger_.Start();
  }

  std::vector<std::string> RankedAddresses() const override {
    std::vector<std::string> addresses;
    for (const member::MemberInfo& member : node_.membership->MembersByRank()) {
      const bool own = member.node.value == static_cast<uint32_t>(node_.index);
      addresses.push_back(own ? std::string() : member.address);
    }
    return addresses;
  }
  int OwnRank() const override { return node_.membership->OwnRank(); }
  Incarnation OwnIncarnation() const override {
    return node_.membership->OwnIncarnation();
  }

  hours::HourLedger& Ledger() { return ledger_; }
  void AnnounceLeaving() { node_.membership->AnnounceLeaving(); }

 private:
  static hours::LedgerInit MakeInit(TestFleet& fleet, const TestNode& node) {
    hours::LedgerInit init;
    init.node = NodeId(static_cast<uint32_t>(node.index));
    init.domain = TestFleet::DomainName(fleet.DomainOf(node.index));
    init.seed = fleet.loop.Random()();
    return init;
  }

  TestNode& node_;
  VirtualClock clock_;
  hours::HourLedger ledger_;
};

// A fleet whose nodes count requests, with the true counts for comparison.
class LedgerFleet {
 public:
  explicit LedgerFleet(const FleetInit& init) : fleet(init) {
    fleet.on_start = [this](TestNode& node) {
      all_ledgers_.push_back(std::make_unique<TestLedger>(fleet, node));
      ledgers_[node.index] = all_ledgers_.back().get();
    };
    fleet.StartAll();
    CountRequests();
  }

  TestLedger& At(int index) { return *ledgers_.at(index); }

  // Reads the hours from the start of the fleet up to the last complete one.
  std::vector<hours::HourStatus> Read() {
    std::vector<std::string> domains;
    for (int d = 0; d <= fleet.DomainOf(fleet.NodeCount() - 1); ++d) {
      domains.push_back(TestFleet::DomainName(d));
    }
    NodeLoop reader_loop(fleet.loop);
    const auto client = fleet.store.Client(reader_loop);
    hours::HourReader reader("comfreystand/hours/", domains, *client);
    std::vector<hours::HourStatus> hours_read;
    reader.Read(first_hour_, {hours::HourOf(fleet.loop.WallNow()).value - 1},
                {},
                [&](platform::StoreStatus,
                    const std::vector<hours::HourStatus>& hours) {
                  hours_read = hours;
                });
    fleet.loop.RunFor(std::chrono::seconds(10));
    return hours_read;
  }

  TestFleet fleet;
  // True number of answered requests, by hour.
  std::map<int64_t, uint64_t> answered_by_hour;

 private:
  // Counts one answered request on every running node, every 10 s.
  void CountRequests() {
    const int64_t hour = hours::HourOf(fleet.loop.WallNow()).value;
    for (int index = 0; index < fleet.NodeCount(); ++index) {
      if (fleet.RunningNode(index) &&
          !fleet.RunningNode(index)->loop.IsFrozen()) {
        At(index).Ledger().Count(hours::MakeRegionKey("western"), true);
        ++answered_by_hour[hour];
      }
    }
    fleet.loop.PostDelayed(std::chrono::seconds(10),
                           [this] { CountRequests(); });
  }

  hours::Hour first_hour_ = hours::HourOf(fleet.loop.WallNow());
  std::map<int, TestLedger*> ledgers_;
  std::vector<std::unique_ptr<TestLedger>> all_ledgers_;
};

}  // namespace comfreystand::testing

#endif  // COMFREYSTAND_TESTS_SUPPORT_TEST_LEDGER_H_
