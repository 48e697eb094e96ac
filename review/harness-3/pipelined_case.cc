// Requests of sound instances that were sent behind one whose answer a faulty
// instance breaks off.
#include "case.h"

namespace review {
namespace {

constexpr int kClients = 24;
constexpr int kBehind = 4;
// One of the three instances of the service is faulty for so many seconds, and
// spoils one answer in 50 then.
constexpr int kArchiveInstances = 3;
constexpr double kFaultyFor = 5.5;
constexpr int kSpoiledOf = 50;
constexpr int kDeskInstances = 4;
constexpr size_t kArchiveBytes = 120'000;
constexpr int64_t kBreakOffAfter = 100'000;
constexpr int kAllowedLosses = 3;

struct Result {
  std::mutex mutex;
  int sent = 0;
  int answered = 0;
  int losses = 0;
  int unread = 0;
};

// One client: sends a request for a large answer and a few others behind it,
// and reads the answers in their order.
void RunClient(const CaseSetup& setup,
               const Gateway& gateway,
               const std::vector<Instance*>& desks,
               double until,
               int number,
               Result* result) {
  int fd = -1;
  std::unique_ptr<Reader> reader;
  for (int round = 0; Seconds() < until; ++round) {
    if (fd < 0) {
      fd = Connect(gateway.host(), gateway.front());
      reader = std::make_unique<Reader>(fd);
    }
    const std::string stem =
        "c" + std::to_string(number) + "-" + std::to_string(round);
    std::string requests = FormatRequest("GET", "/archive/1", stem, 6'000);
    std::vector<std::string> behind;
    for (int i = 0; i < kBehind; ++i) {
      behind.push_back(stem + "-" + std::to_string(i));
      requests += FormatRequest("GET", "/look/1", behind.back(), 6'000);
    }
    setup.record->Add("client sends " + stem + " and " +
                      std::to_string(kBehind) + " behind it");
    SendAll(fd, requests);
    const double deadline = Seconds() + 6;
    const Message first = reader->Read(true, deadline);
    bool open = first.complete;
    setup.record->Add("client gets " + std::to_string(first.Status()) +
                      (first.complete ? "" : ", broken off") + " for " + stem);
    for (const std::string& id : behind) {
      const Message answer = open ? reader->Read(true, deadline) : Message();
      open = open && answer.complete;
      const auto ran = std::find_if(
          desks.begin(), desks.end(),
          [&id](Instance* desk) { return desk->Runs().contains(id); });
      const std::lock_guard lock(result->mutex);
      ++result->sent;
      if (answer.complete) {
        ++result->answered;
      } else if (ran != desks.end()) {
        ++result->losses;
        setup.record->Add("LOST: " + id + " was passed on to " + (*ran)->id() +
                          "; its connection ended without an answer");
      } else {
        ++result->unread;
      }
    }
    if (!open) {
      close(fd);
      fd = -1;
    }
  }
  close(fd);
}

}  // namespace

int RunPipelinedCase(const CaseSetup& setup) {
  // Kept until the process exits, as their threads are.
  Store& store = *new Store(setup.host);
  std::atomic<int>& spoilable_answers = *new std::atomic<int>(0);
  std::atomic<double>& faulty_until = *new std::atomic<double>(0);
  for (int i = 1; i <= kArchiveInstances; ++i) {
    const bool faulty = setup.trouble && i == 1;
    new Instance(&store, setup.record, setup.host,
                 {.id = "i-archive-" + std::to_string(i),
                  .service = "archive",
                  .capacity = 8},
                 [&, faulty](const Message&) {
                   Instance::Work work{.seconds = 0.15,
                                       .body = std::string(kArchiveBytes, 'a')};
                   if (faulty && Seconds() < faulty_until &&
                       ++spoilable_answers % kSpoiledOf == kSpoiledOf / 2) {
                     work.break_off_after = kBreakOffAfter;
                   }
                   return work;
                 });
  }
  std::vector<Instance*> desks;
  for (int i = 1; i <= kDeskInstances; ++i) {
    desks.push_back(new Instance(
        &store, setup.record, setup.host,
        {.id = "i-desk-" + std::to_string(i),
         .service = "desk",
         .capacity = 32},
        [](const Message&) { return Instance::Work{.seconds = 0.3}; }));
  }
  store.Put("op/config",
            MakeConfig(
                1,
                {{"archive", MakeRoute("/archive/", "archive", true, 5'000, 1)},
                 {"look", MakeRoute("/look/", "desk", true, 5'000)}},
                {{"archive", MakeService()}, {"desk", MakeService()}}));
  Gateway gateway({.program = setup.program,
                   .folder = setup.folder,
                   .host = setup.host,
                   .store = store.address()});
  gateway.Start();
  if (!gateway.AwaitReady(10)) {
    return kCouldNotRun;
  }
  Sleep(2);
  const double until = Seconds() + kFaultyFor;
  faulty_until = until;
  Result result;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(
        [&, i] { RunClient(setup, gateway, desks, until, i, &result); });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  setup.record->Add("behind others: sent " + std::to_string(result.sent) +
                    ", answered " + std::to_string(result.answered) +
                    ", passed on and lost " + std::to_string(result.losses) +
                    ", not passed on " + std::to_string(result.unread));
  if (result.answered < result.sent / 2 || result.sent == 0) {
    return kCouldNotRun;
  }
  return result.losses > kAllowedLosses ? kBroken : kHeld;
}

}  // namespace review
