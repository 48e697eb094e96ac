// A gateway is stopped as planned while clients send bodies over slow links,
// and an instance takes them in as they come.
#include "case.h"

namespace review {
namespace {

constexpr int kClients = 6;
constexpr size_t kBodyBytes = 300'000;
constexpr int kPieces = 30;
// Time in which a client sends its body.
constexpr double kSendTime = 3.2;
constexpr int kDeadlineMs = 6'000;
// The signal comes this long after the first byte.
constexpr double kSignalAfter = 0.1;
constexpr double kGrace = 6;
constexpr double kWork = 0.3;

struct Upload {
  std::string id;
  double first_byte = 0;
  double last_byte = 0;
  double ended = 0;
  Message answer;
};

Upload Send(const CaseSetup& setup, const Gateway& gateway, std::string id) {
  Upload upload{.id = std::move(id)};
  const int fd = Connect(gateway.host(), gateway.front());
  upload.first_byte = Seconds();
  setup.record->Add("client begins to send " + upload.id);
  SendAll(fd,
          "POST /file/1 HTTP/1.1\r\nHost: a.example\r\n"
          "Comfreystand-Request-Id: " +
              upload.id +
              "\r\nComfreystand-Deadline-Ms: " + std::to_string(kDeadlineMs) +
              "\r\nContent-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n");
  for (int i = 0; i < kPieces; ++i) {
    SendAll(fd, std::string(kBodyBytes / kPieces, 'u'));
    Sleep(upload.first_byte + kSendTime * (i + 1) / kPieces - Seconds());
  }
  upload.last_byte = Seconds();
  setup.record->Add("client has sent " + upload.id);
  upload.answer = Reader(fd).Read(true, upload.first_byte + kDeadlineMs / 1e3);
  upload.ended = Seconds();
  close(fd);
  setup.record->Add("client gets " + std::to_string(upload.answer.Status()) +
                    (upload.answer.complete ? "" : ", no complete answer") +
                    " for " + upload.id + ", stamp '" +
                    upload.answer.Find("Comfreystand-Server-Stamp") + "'");
  return upload;
}

}  // namespace

int RunLateUploadCase(const CaseSetup& setup) {
  // Kept until the process exits, as their threads are.
  Store& store = *new Store(setup.host);
  Instance& hub = *new Instance(
      &store, setup.record, setup.host,
      {.id = "i-hub", .service = "hub", .capacity = 8},
      [](const Message&) { return Instance::Work{.seconds = kWork}; });
  store.Put(
      "op/config",
      MakeConfig(1, {{"file", MakeRoute("/file/", "hub", false, kDeadlineMs)}},
                 {{"hub", MakeService()}}));
  Gateway gateway({.program = setup.program,
                   .folder = setup.folder,
                   .host = setup.host,
                   .store = store.address()});
  gateway.Start();
  if (!gateway.AwaitReady(10)) {
    return kCouldNotRun;
  }
  Sleep(2);
  std::vector<Upload> uploads(kClients);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(
        [&, i] { uploads[i] = Send(setup, gateway, "f" + std::to_string(i)); });
  }
  Sleep(kSignalAfter);
  const double stopped_at = Seconds();
  if (setup.trouble) {
    setup.record->Add("the gateway gets SIGTERM");
    gateway.Signal(SIGTERM);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  int lost = 0;
  const std::set<std::string> begun = hub.Begun();
  for (const Upload& upload : uploads) {
    const bool own_answer = !upload.answer.Has("Comfreystand-Server-Stamp");
    // Before the last sixth of the grace time, and before the deadline.
    const bool in_time = upload.ended < stopped_at + kGrace * 5 / 6 &&
                         upload.ended < upload.first_byte + kDeadlineMs / 1e3;
    if (begun.contains(upload.id) && own_answer && in_time) {
      ++lost;
      setup.record->Add(
          "LOST: " + upload.id + " was broken off " +
          std::to_string(upload.ended - stopped_at) + " s after SIGTERM and " +
          std::to_string(upload.ended - upload.last_byte) +
          " s after its last byte; " + hub.id() + " was at work on it");
    }
  }
  setup.record->Add("uploads: " + std::to_string(kClients) + ", lost " +
                    std::to_string(lost));
  return begun.empty() ? kCouldNotRun : lost > 0 ? kBroken : kHeld;
}

}  // namespace review
