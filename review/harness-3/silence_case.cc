// A gateway is stopped as planned while a slow instance is at work on long
// requests, without a byte of their answers.
#include "case.h"

namespace review {
namespace {

constexpr size_t kRequestsOfEachKind = 6;
// One of them is slow.
constexpr int kInstances = 3;
constexpr int kDeadlineMs = 30'000;
// Usual time of the work, and how many times as long it takes at a slow
// instance.
constexpr double kWork = 3.3;
constexpr double kSlowFactor = 7;
// Of the signal, before the slow work ends.
constexpr double kSignalBeforeEnd = 4.5;

struct Call {
  std::string id;
  double sent = 0;
  double ended = 0;
  Message answer;
};

Call Send(const CaseSetup& setup,
          const Gateway& gateway,
          std::string path,
          std::string id) {
  Call call{.id = std::move(id)};
  const int fd = Connect(gateway.host(), gateway.front());
  call.sent = Seconds();
  setup.record->Add("client sends " + call.id + " " + path);
  SendAll(fd, FormatRequest("POST", path, call.id, kDeadlineMs));
  call.answer = Reader(fd).Read(true, call.sent + kDeadlineMs / 1e3);
  call.ended = Seconds();
  close(fd);
  setup.record->Add("client gets " + std::to_string(call.answer.Status()) +
                    (call.answer.complete ? "" : ", no complete answer") +
                    " for " + call.id + " after " +
                    std::to_string(call.ended - call.sent) + " s, stamp '" +
                    call.answer.Find("Comfreystand-Server-Stamp") + "'");
  return call;
}

}  // namespace

int RunSilenceCase(const CaseSetup& setup) {
  // Kept until the process exits, as their threads are.
  Store& store = *new Store(setup.host);
  const double work = setup.trouble ? kWork * kSlowFactor : kWork;
  std::vector<Instance*> archives;
  for (int i = 1; i <= kInstances; ++i) {
    const double seconds = i == 1 ? work : kWork;
    archives.push_back(new Instance(&store, setup.record, setup.host,
                                    {.id = "i-archive-" + std::to_string(i),
                                     .service = "archive",
                                     .capacity = 6},
                                    [seconds](const Message&) {
                                      return Instance::Work{.seconds = seconds};
                                    }));
  }
  store.Put(
      "op/config",
      MakeConfig(1,
                 {{"pull", MakeRoute("/pull/", "archive", true, kDeadlineMs)},
                  {"file", MakeRoute("/file/", "archive", false, kDeadlineMs)}},
                 {{"archive", MakeService()}}));
  Gateway gateway({.program = setup.program,
                   .folder = setup.folder,
                   .host = setup.host,
                   .store = store.address()});
  gateway.Start();
  if (!gateway.AwaitReady(10)) {
    return kCouldNotRun;
  }
  Sleep(2);
  std::vector<Call> calls(2 * kRequestsOfEachKind);
  std::vector<std::thread> clients;
  for (size_t i = 0; i < calls.size(); ++i) {
    clients.emplace_back([&, i] {
      const bool pull = i % 2 == 0;
      calls[i] = Send(setup, gateway, pull ? "/pull/1" : "/file/1",
                      (pull ? "pull-" : "file-") + std::to_string(i));
    });
  }
  Sleep(std::max(0.5, work - kSignalBeforeEnd));
  const double stopped_at = Seconds();
  setup.record->Add("the gateway gets SIGTERM");
  gateway.Signal(SIGTERM);
  for (std::thread& client : clients) {
    client.join();
  }
  int lost = 0;
  const std::set<std::string> runs = archives[0]->Runs();
  for (const Call& call : calls) {
    const bool own_answer = !call.answer.Has("Comfreystand-Server-Stamp");
    const bool in_time =
        call.ended < call.sent + kDeadlineMs / 1e3 && call.ended > stopped_at;
    if (runs.contains(call.id) && in_time && own_answer) {
      ++lost;
      setup.record->Add("LOST: " + call.id + " was broken off " +
                        std::to_string(call.ended - stopped_at) +
                        " s after SIGTERM, while " + archives[0]->id() +
                        " was at work on it");
    }
  }
  setup.record->Add("requests: " + std::to_string(calls.size()) +
                    ", run by the slow instance " +
                    std::to_string(runs.size()) + ", lost " +
                    std::to_string(lost));
  return runs.empty() ? kCouldNotRun : lost > 0 ? kBroken : kHeld;
}

}  // namespace review
