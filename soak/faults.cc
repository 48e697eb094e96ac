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

constexpr milliseconds kMinFaultDuration{200};
constexpr milliseconds kMaxFaultDuration{2'500};

Duration RandomFaultDuration(Cluster* cluster) {
  return cluster->RandomDuration(kMinFaultDuration, kMaxFaultDuration);
}

// Returns one kind of link fault, chosen at random.
LinkFaults RandomLinkFaults(Cluster* cluster) {
  constexpr size_t kLinkFaultKinds = 5;
  LinkFaults faults;
  switch (cluster->RandomIndex(kLinkFaultKinds)) {
    case 0:
      faults.delay =
          cluster->RandomDuration(milliseconds(20), milliseconds(400));
      break;
    case 1:
      faults.stalled_to_server = true;
      break;
    case 2:
      faults.stalled_to_client = true;
      break;
    case 3:
      faults.stalled_to_server = true;
      faults.stalled_to_client = true;
      break;
    default:
      faults.reset_new_connections = true;
      break;
  }
  return faults;
}

void FailLink(Cluster* cluster, FaultProxy* link) {
  const LinkFaults faults = RandomLinkFaults(cluster);
  link->SetFaults(faults);
  if (faults.reset_new_connections) {
    link->ResetConnections();
  }
  cluster->PostDelayed(RandomFaultDuration(cluster),
                       [link] { link->SetFaults({}); });
}

void KillGateway(Cluster* cluster) {
  cluster->KillGateway(cluster->RandomGateway());
}
void StopGateway(Cluster* cluster) {
  cluster->StopGateway(cluster->RandomGateway());
}
void PauseGateway(Cluster* cluster) {
  cluster->PauseGateway(cluster->RandomGateway(), RandomFaultDuration(cluster));
}
void ReloadGateway(Cluster* cluster) {
  GatewayNode* node = cluster->RandomGateway();
  // SIGHUP terminates a process that has not installed its handler yet.
  constexpr std::chrono::seconds kSignalHandlerSetupTime{1};
  if (node->process &&
      cluster->Now() - node->started_at > kSignalHandlerSetupTime) {
    node->process->SendSignal(SIGHUP);
  }
}
void KillAllGateways(Cluster* cluster) {
  for (const auto& node : cluster->gateways()) {
    cluster->KillGateway(node.get());
  }
}
void FailStoreLink(Cluster* cluster) {
  FailLink(cluster, &cluster->RandomGateway()->link);
}
void FailBackendLink(Cluster* cluster) {
  if (Backend* backend = cluster->RandomBackend()) {
    FailLink(cluster, &backend->link);
  }
}
void ResetBackendLink(Cluster* cluster) {
  if (Backend* backend = cluster->RandomBackend()) {
    backend->link.ResetConnections();
  }
}
void FailStore(Cluster* cluster) {
  constexpr std::array<Outage, 4> kOutages = {Outage::kUnavailable,
                                              Outage::kRateLimited,
                                              Outage::kReset, Outage::kSilent};
  standins::StoreFaults faults;
  faults.outage = kOutages[cluster->RandomIndex(kOutages.size())];
  faults.leases_expire = cluster->RandomIndex(2) == 0;
  cluster->store().SetFaults(faults);
  cluster->PostDelayed(RandomFaultDuration(cluster),
                       [cluster] { cluster->store().SetFaults({}); });
}
void CompactStore(Cluster* cluster) {
  cluster->store().Compact();
}
void RestoreStore(Cluster* cluster) {
  cluster->store().KeepCopy();
  cluster->PostDelayed(RandomFaultDuration(cluster),
                       [cluster] { cluster->RestoreStore(); });
}
void ChangeConfig(Cluster* cluster) {
  cluster->WriteConfig();
}
void ReplaceBackend(Cluster* cluster) {
  cluster->AddBackend();
  if (Backend* backend = cluster->RandomBackend()) {
    cluster->DrainBackend(backend);
  }
}
void ShedLoadAtBackend(Cluster* cluster) {
  if (Backend* backend = cluster->RandomBackend()) {
    backend->server.behaviour().shedding = true;
    cluster->PostDelayed(RandomFaultDuration(cluster), [backend] {
      backend->server.behaviour().shedding = false;
    });
  }
}

void AskToWaitAtBackend(Cluster* cluster) {
  constexpr std::array<const char*, 4> kWaits = {"0.3", "1", "1.5", "soon"};
  if (Backend* backend = cluster->RandomBackend()) {
    backend->server.behaviour().retry_after =
        kWaits[cluster->RandomIndex(kWaits.size())];
    ShedLoadAtBackend(cluster);
  }
}

struct Fault {
  std::string_view name;
  void (*inject)(Cluster* cluster);
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
    {"compact the store's history", &CompactStore},
    {"restore the store", &RestoreStore},
    {"change the configuration", &ChangeConfig},
    {"replace a backend server", &ReplaceBackend},
    {"shed load at a backend server", &ShedLoadAtBackend},
    {"ask to wait at a backend server", &AskToWaitAtBackend},
});

}  // namespace

std::string InjectRandomFault(Cluster* cluster) {
  const Fault& fault = kFaults[cluster->RandomIndex(kFaults.size())];
  fault.inject(cluster);
  return std::string(fault.name);
}

void ClearFaults(Cluster* cluster) {
  cluster->store().SetFaults({});
  for (const auto& node : cluster->gateways()) {
    node->link.SetFaults({});
  }
  for (const auto& backend : cluster->backends()) {
    backend->link.SetFaults({});
    backend->server.behaviour().shedding = false;
  }
}

}  // namespace comfreystand::soak
