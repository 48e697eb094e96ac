#include "soak/soak.h"

#include <algorithm>
#include <csignal>

#include "soak/faults.h"
#include "soak/world.h"

namespace comfreystand::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Bounds of the checks; a busy machine stays far below them.
constexpr seconds kStartPatience{30};
constexpr seconds kRecoveryPatience{30};
constexpr seconds kStopPatience{20};

// Asks a gateway until it serves on the latest configuration.
bool Recovers(World* world, GatewayNode* node) {
  bool served = false;
  bool asking = false;
  return world->Until(kRecoveryPatience, [&] {
    if (!served && !asking && node->process) {
      asking = true;
      world->Probe(node, [&](bool ok) {
        asking = false;
        served = ok;
      });
    }
    return served && !asking;
  });
}

void DoFaults(World* world, const SoakInit& init, SoakResult* result) {
  const TimePoint begin = world->Now();
  TimePoint next = begin;
  world->Until(init.length, [&] {
    if (world->Now() >= next) {
      const double second =
          static_cast<double>((world->Now() - begin).count()) / 1e6;
      result->faults.push_back(std::to_string(second) + " " +
                               DoAnyFault(world));
      next = world->Now() + world->PickTime(Duration(0), 2 * init.pause);
    }
    return false;
  });
}

void CheckRecovery(World* world) {
  EndFaults(world);
  for (const auto& node : world->gateways()) {
    if (!Recovers(world, node.get())) {
      world->ledger().Broken(node->name +
                             " does not serve on the latest configuration "
                             "after all faults have ended");
    }
  }
}

void CheckStop(World* world) {
  std::vector<std::unique_ptr<Process>> ending;
  for (const auto& node : world->gateways()) {
    if (node->process) {
      node->process->Signal(SIGTERM);
      ending.push_back(std::move(node->process));
    }
  }
  world->Until(kStopPatience, [&] {
    return std::all_of(ending.begin(), ending.end(),
                       [](const auto& process) { return process->Ended(); });
  });
  for (const auto& process : ending) {
    if (process->Ended() != 0) {
      world->ledger().Broken("a gateway did not stop in order");
    }
  }
}

}  // namespace

SoakResult RunSoak(const SoakInit& init) {
  SoakResult result;
  World world(init);
  for (const auto& node : world.gateways()) {
    if (!Recovers(&world, node.get())) {
      world.ledger().Broken(node->name + " does not start");
    }
  }
  world.StartCallers();
  DoFaults(&world, init, &result);
  CheckRecovery(&world);
  world.StopCallers();
  world.Until(kStartPatience, [&] { return world.calls_open() == 0; });
  CheckStop(&world);
  world.ledger().CheckRuns(
      [&world](const std::string& id) { return world.Runs(id); });
  result.calls = world.ledger().calls();
  result.served = world.ledger().served();
  result.refused = world.ledger().refused();
  result.broken = world.ledger().broken();
  return result;
}

}  // namespace comfreystand::soak
