// A gateway is stopped as planned while clients read large answers slowly.
#include "case.h"

namespace review {
namespace {

constexpr int kClients = 6;
constexpr size_t kAnswerBytes = 300'000;
constexpr int kDeadlineMs = 6'000;
constexpr double kWork = 0.5;
// Times after the first request: of the signal, of a second request on the same
// connection, and of the client's first read.
constexpr double kSignalAt = 0.2;
constexpr double kSecondAt = 2;
constexpr double kReadAt = 2.3;

struct Call {
  std::string id;
  double sent = 0;
  double ended = 0;
  Message answer;
};

Call Send(const CaseSetup& setup, const Gateway& gateway, std::string id) {
  Call call{.id = std::move(id)};
  const int fd = Connect(gateway.host(), gateway.front());
  call.sent = Seconds();
  setup.record->Add("client sends " + call.id);
  SendAll(fd, FormatRequest("GET", "/archive/1", call.id, kDeadlineMs));
  if (setup.trouble) {
    Sleep(kSecondAt);
    setup.record->Add("client sends " + call.id + "-second");
    SendAll(fd, FormatRequest("GET", "/archive/1", call.id + "-second",
                              kDeadlineMs));
    Sleep(kReadAt - kSecondAt);
  }
  call.answer = Reader(fd).Read(true, call.sent + kDeadlineMs / 1e3);
  call.ended = Seconds();
  close(fd);
  setup.record->Add(
      "client gets " + std::to_string(call.answer.Status()) +
      (call.answer.complete ? "" : ", no complete answer") + " for " + call.id +
      ", " + std::to_string(call.answer.body.size()) + " bytes, stamp '" +
      call.answer.Find("Comfreystand-Server-Stamp") + "'");
  return call;
}

}  // namespace

int RunSlowCallerCase(const CaseSetup& setup) {
  // Kept until the process exits, as their threads are.
  Store& store = *new Store(setup.host);
  Instance& archive = *new Instance(
      &store, setup.record, setup.host,
      {.id = "i-archive", .service = "archive", .capacity = 8},
      [](const Message&) {
        return Instance::Work{.seconds = kWork,
                              .body = std::string(kAnswerBytes, 'a')};
      });
  store.Put("op/config",
            MakeConfig(1,
                       {{"archive",
                         MakeRoute("/archive/", "archive", true, kDeadlineMs)}},
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
  std::vector<Call> calls(kClients);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(
        [&, i] { calls[i] = Send(setup, gateway, "a" + std::to_string(i)); });
  }
  Sleep(kSignalAt);
  const double stopped_at = Seconds();
  setup.record->Add("the gateway gets SIGTERM");
  gateway.Signal(SIGTERM);
  for (std::thread& client : clients) {
    client.join();
  }
  int lost = 0;
  const std::set<std::string> runs = archive.Runs();
  for (const Call& call : calls) {
    const bool in_time =
        call.ended < call.sent + kDeadlineMs / 1e3 && call.ended > stopped_at;
    if (runs.contains(call.id) && in_time && !call.answer.complete) {
      ++lost;
      setup.record->Add("LOST: the connection of " + call.id + " ended " +
                        std::to_string(call.ended - stopped_at) +
                        " s after SIGTERM, without the whole answer that " +
                        archive.id() + " gave");
    }
  }
  int status = 0;
  setup.record->Add(
      "requests: " + std::to_string(kClients) + ", lost " +
      std::to_string(lost) +
      (gateway.HasEnded(&status) ? ", the process has ended" : ""));
  return runs.empty() ? kCouldNotRun : lost > 0 ? kBroken : kHeld;
}

}  // namespace review
