#include "tests/support/fleet_measure.h"

#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <set>

#include "tests/support/json_codec.h"
#include "tests/support/test_ledger.h"

namespace comfreystand::testing {
namespace {

using namespace std::chrono_literals;

constexpr Duration kWarmUpTime = 20s;
constexpr Duration kMeasuringTime = 30s;
constexpr Duration kPropagationTimeout = 30s;
// Size of a rule file with 190 sites.
constexpr size_t kRuleFileBytes = 40'000;
// Changes proposed by MeasureAcceptance().
constexpr int kProposals = 100;

double ThreadCpuSeconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) * 1e-9;
}

double HeapBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

FleetInit MakeFleetInit(int domains, int nodes_per_domain, uint64_t seed) {
  FleetInit init;
  init.domains = domains;
  init.nodes_per_domain = nodes_per_domain;
  init.seed = seed;
  init.codec = JsonDocumentCodec();
  return init;
}

// Proposes a change, takes the store down once it is accepted, and waits until
// all nodes have it in force. Returns the seconds since the acceptance.
double RulePropagationSeconds(TestFleet& fleet, const std::string& id) {
  bool accepted = false;
  const std::string text = id + std::string(kRuleFileBytes, 'x');
  fleet.Propose(0, id, text, [&](const platform::AcceptResult& result) {
    accepted = result.status == platform::AcceptStatus::kAccepted;
    fleet.store.faults.down = true;
  });
  while (!accepted) {
    fleet.loop.RunFor(1ms);
  }
  const TimePoint from = fleet.loop.Now();
  const RuleVersion version = fleet.RunningNode(0)->replicator->Version();
  while (fleet.LowestVersion() < version &&
         fleet.loop.Now() - from < kPropagationTimeout) {
    fleet.loop.RunFor(10ms);
  }
  const double seconds = Seconds(fleet.loop.Now() - from);
  fleet.store.faults.down = false;
  return seconds;
}

// Reports a leaving backend server to one node and waits until all nodes report
// it as leaving. Returns the seconds taken.
double LeavePropagationSeconds(TestFleet& fleet) {
  const TimePoint from = fleet.loop.Now();
  const std::string address = "10.9.9.9:80";
  fleet.RunningNode(1)->membership->ReportLeaving(
      {"backend", address, member::LeaveSource::kBackend,
       fleet.loop.WallNow()});
  int known_nodes = 0;
  while (known_nodes < fleet.NodeCount() &&
         fleet.loop.Now() - from < kPropagationTimeout) {
    fleet.loop.RunFor(10ms);
    known_nodes = 0;
    for (int vm = 0; vm < fleet.NodeCount(); ++vm) {
      known_nodes +=
          fleet.RunningNode(vm)->membership->IsLeaving("backend", address);
    }
  }
  return Seconds(fleet.loop.Now() - from);
}

TrafficCounts SumTraffic(const FakeNetwork& network) {
  TrafficCounts sum;
  for (const auto& [address, counts] : network.counts) {
    sum.bytes_sent += counts.bytes_sent;
    sum.bytes_received += counts.bytes_received;
    sum.messages_sent += counts.messages_sent;
    sum.calls += counts.calls;
  }
  return sum;
}

}  // namespace

FleetCosts MeasureFleet(int domains, int nodes_per_domain, uint64_t seed) {
  const double heap_before = HeapBytes();
  LedgerFleet run(MakeFleetInit(domains, nodes_per_domain, seed));
  TestFleet& fleet = run.fleet;
  fleet.store.record_history = false;
  fleet.loop.RunFor(kWarmUpTime);
  FleetCosts costs;
  costs.nodes = fleet.NodeCount();
  const double node_seconds = costs.nodes * Seconds(kMeasuringTime);

  fleet.network.counts.clear();
  fleet.store.counts = {};
  const double cpu_before = ThreadCpuSeconds();
  fleet.loop.RunFor(kMeasuringTime);
  const double cpu = ThreadCpuSeconds() - cpu_before;
  const TrafficCounts traffic = SumTraffic(fleet.network);

  costs.cpu_percent = 100 * cpu / node_seconds;
  costs.bytes_per_second =
      static_cast<double>(traffic.bytes_sent + traffic.bytes_received) /
      node_seconds;
  costs.messages_per_second =
      2 * static_cast<double>(traffic.messages_sent) / node_seconds;
  costs.calls_per_second =
      2 * static_cast<double>(traffic.calls) / node_seconds;
  costs.store_calls_per_second =
      static_cast<double>(fleet.store.counts.Total()) / Seconds(kMeasuringTime);
  costs.rule_propagation_seconds = RulePropagationSeconds(fleet, "change-1");
  costs.leave_propagation_seconds = LeavePropagationSeconds(fleet);
  costs.heap_mb = (HeapBytes() - heap_before) / costs.nodes / 1e6;
  costs.document_bytes =
      static_cast<double>(fleet.RunningNode(0)->replicator->Bytes().size());
  return costs;
}

double MeasureRulePropagation(int domains, int nodes_per_domain, int seeds) {
  double slowest = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    TestFleet fleet(
        MakeFleetInit(domains, nodes_per_domain, static_cast<uint64_t>(seed)));
    fleet.StartAll();
    fleet.loop.RunFor(kWarmUpTime);
    slowest = std::max(slowest, RulePropagationSeconds(fleet, "change-1"));
  }
  return slowest;
}

HoursOutcome MeasureHours(uint64_t seed) {
  LedgerFleet run(MakeFleetInit(2, 3, seed));
  TestFleet& fleet = run.fleet;
  fleet.loop.RunFor(70min);
  fleet.store.faults.down = true;
  fleet.loop.RunFor(30min);
  fleet.Kill(0);
  fleet.Kill(3);
  fleet.loop.RunFor(50min);
  fleet.Start(0);
  fleet.loop.RunFor(40min);
  fleet.store.faults.down = false;
  fleet.loop.RunFor(30min);
  for (int vm = 0; vm < fleet.NodeCount(); ++vm) {
    run.At(vm).Ledger().Finish([] {});
    fleet.loop.RunFor(1s);
    fleet.Kill(vm);
    fleet.loop.RunFor(30s);
    fleet.Start(vm);
  }
  fleet.loop.RunFor(90min);
  HoursOutcome outcome;
  for (const hours::HourStatus& hour : run.Read()) {
    ++outcome.hours;
    outcome.missing += !hour.has_value && hour.reason.empty() ? 1 : 0;
    const bool exact =
        hour.counts.answered == run.answered_by_hour[hour.hour.value];
    outcome.unexplained += !exact && hour.reason.empty() ? 1 : 0;
  }
  return outcome;
}

AcceptCosts MeasureAcceptance(platform::AuditOrder order,
                              StoreFaultKind fault_kind,
                              uint64_t seed) {
  VirtualLoop loop(seed);
  FakeStore store(loop);
  NodeLoop node(loop);
  const auto client = store.Client(node);
  platform::AcceptanceInit init;
  init.codec = JsonDocumentCodec();
  init.order = order;
  init.seed = seed;
  platform::Acceptance acceptance(init, node, *client);
  if (fault_kind == StoreFaultKind::kLostReplies) {
    store.faults.lost_answer = 0.2;
    store.faults.lost_request = 0.1;
  }
  AcceptCosts costs;
  uint64_t version = 0;
  double total_wait_ms = 0;
  double total_writes = 0;
  std::set<std::string> accepted;
  for (int i = 0; i < kProposals; ++i) {
    if (fault_kind == StoreFaultKind::kOutages && i % 5 == 0) {
      const auto begin = Duration(1ms) * loop.Random()(12);
      loop.PostDelayed(begin, [&] { store.faults.down = true; });
      loop.PostDelayed(begin + 10s, [&] { store.faults.down = false; });
    }
    platform::ChangeOrigin origin;
    origin.change_id = "change-" + std::to_string(i);
    origin.expected_version = {version};
    origin.proposed_by = "operator";
    origin.requested_by = "committee";
    const TimePoint from = loop.Now();
    const uint64_t writes = store.counts.writes;
    bool answered = false;
    acceptance.Propose(
        origin, origin.change_id, [&](const platform::AcceptResult& result) {
          answered = true;
          total_wait_ms += Seconds(loop.Now() - from) * 1000;
          total_writes += static_cast<double>(store.counts.writes - writes);
          version = result.version.value;
          if (result.status == platform::AcceptStatus::kAccepted) {
            ++costs.accepted;
            accepted.insert(origin.change_id);
          } else if (result.status == platform::AcceptStatus::kUnresolved) {
            ++costs.unresolved;
          }
        });
    while (!answered) {
      loop.RunFor(1ms);
    }
    loop.RunFor(60s);
  }
  costs.mean_wait_ms = total_wait_ms / kProposals;
  costs.writes_before_reply = total_writes / kProposals;
  costs.writes_per_change =
      static_cast<double>(store.counts.writes) / kProposals;
  store.faults = {};
  acceptance.ReadHistory(
      {}, 100'000,
      [&](platform::StoreStatus, const std::vector<AuditEntry>& entries) {
        for (const AuditEntry& entry : entries) {
          costs.unaccepted_entries +=
              accepted.contains(entry.change_id) ? 0 : 1;
        }
      });
  loop.RunFor(10s);
  return costs;
}

}  // namespace comfreystand::testing
