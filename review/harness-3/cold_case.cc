// An instance in full use turns cold and says so in the store at once.
#include <algorithm>

#include "case.h"

namespace review {
namespace {

constexpr int kGateways = 2;
constexpr int kClientsPerGateway = 10;
// Of each client, in seconds.
constexpr double kPause = 0.4;
constexpr double kWork = 0.1;
// As a cold instance is slow.
constexpr double kColdWork = 0.2;
constexpr double kColdTime = 3;
constexpr double kColdPerS = 3.6;
constexpr double kColdFactor = 1.5;
constexpr double kColdSlack = 5;
// A cold instance crashes at a rate well above the one that it tolerates.
constexpr double kCrashFactor = 4;
constexpr int kEvents = 5;
constexpr double kEventInterval = 6;

struct Traffic {
  std::mutex mutex;
  std::map<std::string, double> sent;
  std::atomic<bool> stop = false;
  std::atomic<int> answered = 0;
  std::atomic<int> failed = 0;
};

void RunClient(const CaseSetup& setup,
               const Gateway& gateway,
               const std::string& name,
               Traffic* traffic) {
  int fd = -1;
  std::unique_ptr<Reader> reader;
  for (int i = 0; !traffic->stop; ++i) {
    if (fd < 0) {
      fd = Connect(gateway.host(), gateway.front());
      reader = std::make_unique<Reader>(fd);
    }
    const std::string id = name + "-" + std::to_string(i);
    const double begun = Seconds();
    {
      const std::lock_guard lock(traffic->mutex);
      traffic->sent[id] = begun;
    }
    SendAll(fd, FormatRequest("POST", "/book/1", id, 2'000));
    const Message answer = reader->Read(true, begun + 2);
    const bool served = answer.complete && answer.Status() == 200;
    ++(served ? traffic->answered : traffic->failed);
    if (!served) {
      setup.record->Add("client gets " + std::to_string(answer.Status()) +
                        " for " + id);
    }
    if (!answer.complete || answer.Find("Connection") == "close") {
      close(fd);
      fd = -1;
    }
    Sleep(begun + kPause - Seconds());
  }
  close(fd);
}

// Largest number of requests that were sent and arrived inside one second of
// the cold time.
int BusiestColdSecond(Instance* instance,
                      Traffic* traffic,
                      double from,
                      double to) {
  const auto arrivals = instance->Arrivals();
  const std::lock_guard lock(traffic->mutex);
  int most = 0;
  for (const auto& [first, first_id] : arrivals) {
    const double begin = traffic->sent[first_id];
    if (begin < from || begin + 1 > to) {
      continue;
    }
    most = std::max<int>(
        most, static_cast<int>(std::count_if(
                  arrivals.begin(), arrivals.end(), [&](const auto& arrival) {
                    return traffic->sent[arrival.second] >= begin &&
                           arrival.first >= begin && arrival.first < begin + 1;
                  })));
  }
  return most;
}

// Arrivals of the last second, since the instance turned cold.
int RecentArrivals(Instance* instance, double since) {
  const double from = std::max(since, Seconds() - 1);
  const auto arrivals = instance->Arrivals();
  return static_cast<int>(std::count_if(
      arrivals.begin(), arrivals.end(),
      [&](const auto& arrival) { return arrival.first >= from; }));
}

}  // namespace

int RunColdCase(const CaseSetup& setup) {
  // Kept until the process exits, as their threads are.
  Store& store = *new Store(setup.host);
  auto& traffic = *new Traffic();
  std::vector<Instance*> instances;
  for (const std::string id : {"i-desk-1", "i-desk-2"}) {
    auto** self = new Instance*(nullptr);
    *self = new Instance(
        &store, setup.record, setup.host,
        {.id = id, .service = "desk", .capacity = 6}, [self](const Message&) {
          const bool cold = *self && (*self)->ColdLeft() > 0;
          return Instance::Work{.seconds = cold ? kColdWork : kWork};
        });
    instances.push_back(*self);
  }
  store.Put("op/config",
            MakeConfig(1, {{"book", MakeRoute("/book/", "desk", false, 1'500)}},
                       {{"desk", MakeService(kColdPerS)}}));
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 0; i < kGateways; ++i) {
    gateways.push_back(std::make_unique<Gateway>(
        Gateway::Options{.program = setup.program,
                         .folder = setup.folder,
                         .name = "front-a-" + std::to_string(i + 1),
                         .host = setup.host,
                         .store = store.address()}));
    gateways.back()->Start();
  }
  for (const auto& gateway : gateways) {
    if (!gateway->AwaitReady(10)) {
      return kCouldNotRun;
    }
  }
  Sleep(2);
  std::vector<std::thread> clients;
  for (int i = 0; i < kGateways * kClientsPerGateway; ++i) {
    clients.emplace_back([&, i] {
      Sleep(kPause * i / (kGateways * kClientsPerGateway));
      RunClient(setup, *gateways[i % kGateways], "c" + std::to_string(i),
                &traffic);
    });
  }
  Sleep(5);
  int most = 0;
  for (int event = 0; event < kEvents; ++event) {
    Instance* instance = instances[event % instances.size()];
    if (instance->crashed()) {
      continue;
    }
    const int failed_before = traffic.failed;
    double since = Seconds();
    if (setup.trouble) {
      since = instance->TurnCold(kColdTime);
      setup.record->Add(instance->id() + " has turned cold; the store has it");
    }
    while (setup.trouble && Seconds() < since + kColdTime) {
      if (RecentArrivals(instance, since) > kCrashFactor * kColdPerS) {
        setup.record->Add(instance->id() + " crashes: " +
                          std::to_string(RecentArrivals(instance, since)) +
                          " requests in its cold second");
        instance->Crash();
        break;
      }
      Sleep(0.005);
    }
    Sleep(since + kEventInterval - Seconds());
    if (setup.trouble) {
      const int busiest =
          BusiestColdSecond(instance, &traffic, since, since + kColdTime);
      setup.record->Add(instance->id() + ": " + std::to_string(busiest) +
                        " requests in a cold second; the most allowed is " +
                        std::to_string(kColdPerS * kColdFactor + kColdSlack) +
                        "; not served since: " +
                        std::to_string(traffic.failed - failed_before));
      most = std::max(most, busiest);
    }
    if (instance->crashed()) {
      break;
    }
  }
  traffic.stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  setup.record->Add("served " + std::to_string(traffic.answered) +
                    ", not served " + std::to_string(traffic.failed) +
                    ", most in a cold second " + std::to_string(most));
  if (traffic.answered < 500) {
    return kCouldNotRun;
  }
  return most > kColdPerS * kColdFactor + kColdSlack ? kBroken : kHeld;
}

}  // namespace review
