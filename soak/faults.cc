#include "soak/faults.h"

#include <array>
#include <chrono>
#include <csignal>
#include <string_view>

#include "platform/names.h"

namespace comfreystand::soak {
namespace {

using standins::Outage;
using std::chrono::milliseconds;

constexpr milliseconds kShortest{200};
constexpr milliseconds kLongest{2'500};

Duration AnyTime(World* world) {
  return world->PickTime(kShortest, kLongest);
}

// One of the ways in which a link fails.
LinkFaults AnyLinkFault(World* world) {
  constexpr size_t kWays = 5;
  LinkFaults faults;
  switch (world->Pick(kWays)) {
    case 0:
      faults.delay = world->PickTime(milliseconds(20), milliseconds(400));
      break;
    case 1:
      faults.silent_to_server = true;
      break;
    case 2:
      faults.silent_to_client = true;
      break;
    case 3:
      faults.silent_to_server = true;
      faults.silent_to_client = true;
      break;
    default:
      faults.refusing = true;
      break;
  }
  return faults;
}

void FailLink(World* world, FaultProxy* link) {
  const LinkFaults faults = AnyLinkFault(world);
  link->SetFaults(faults);
  if (faults.refusing) {
    link->ResetConnections();
  }
  world->After(AnyTime(world), [link] { link->SetFaults({}); });
}

void KillGateway(World* world) {
  world->KillGateway(world->AnyGateway());
}
void StopGateway(World* world) {
  world->StopGateway(world->AnyGateway());
}
void PauseGateway(World* world) {
  world->PauseGateway(world->AnyGateway(), AnyTime(world));
}
void ReloadGateway(World* world) {
  GatewayNode* node = world->AnyGateway();
  // The signal ends a process that has not begun to listen for it.
  constexpr std::chrono::seconds kStartTime{1};
  if (node->process && world->Now() - node->started > kStartTime) {
    node->process->Signal(SIGHUP);
  }
}
void KillAllGateways(World* world) {
  for (const auto& node : world->gateways()) {
    world->KillGateway(node.get());
  }
}
void FailStoreLink(World* world) {
  FailLink(world, &world->AnyGateway()->link);
}
void FailBackendLink(World* world) {
  if (Backend* backend = world->AnyBackend()) {
    FailLink(world, &backend->link);
  }
}
void ResetBackendLink(World* world) {
  if (Backend* backend = world->AnyBackend()) {
    backend->link.ResetConnections();
  }
}
void FailStore(World* world) {
  constexpr std::array<Outage, 4> kOutages = {Outage::kUnavailable,
                                              Outage::kRateLimited,
                                              Outage::kReset, Outage::kSilent};
  standins::StoreFaults faults;
  faults.outage = kOutages[world->Pick(kOutages.size())];
  faults.leases_expire = world->Pick(2) == 0;
  world->store().SetFaults(faults);
  world->After(AnyTime(world), [world] { world->store().SetFaults({}); });
}
void ForgetHistory(World* world) {
  world->store().Compact();
}
void ChangeConfig(World* world) {
  world->WriteConfig();
}
void ReplaceBackend(World* world) {
  world->AddBackend();
  if (Backend* backend = world->AnyBackend()) {
    world->Drain(backend);
  }
}
void ShedAtBackend(World* world) {
  if (Backend* backend = world->AnyBackend()) {
    backend->server.behaviour().shedding = true;
    world->After(AnyTime(world),
                 [backend] { backend->server.behaviour().shedding = false; });
  }
}

struct Fault {
  std::string_view name;
  void (*run)(World* world);
};

constexpr std::array kFaults = std::to_array<Fault>({
    {"kill a gateway", &KillGateway},
    {"stop a gateway", &StopGateway},
    {"pause a gateway", &PauseGateway},
    {"reload a gateway", &ReloadGateway},
    {"kill all gateways", &KillAllGateways},
    {"fail a link to the store", &FailStoreLink},
    {"fail a link to a backend server", &FailBackendLink},
    {"reset a link to a backend server", &ResetBackendLink},
    {"fail the store", &FailStore},
    {"forget the store's history", &ForgetHistory},
    {"change the configuration", &ChangeConfig},
    {"replace a backend server", &ReplaceBackend},
    {"shed at a backend server", &ShedAtBackend},
});

}  // namespace

std::string DoAnyFault(World* world) {
  const Fault& fault = kFaults[world->Pick(kFaults.size())];
  fault.run(world);
  return std::string(fault.name);
}

void EndFaults(World* world) {
  world->store().SetFaults({});
  for (const auto& node : world->gateways()) {
    node->link.SetFaults({});
  }
  for (const auto& backend : world->backends()) {
    backend->link.SetFaults({});
    backend->server.behaviour().shedding = false;
  }
}

}  // namespace comfreystand::soak
