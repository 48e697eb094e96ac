// A gateway is stopped as planned while a sound instance is at work on uploads
// that it reads slowly.
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "case.h"

namespace review {
namespace {

constexpr int kClients = 6;
constexpr size_t kBodyBytes = 360'000;
// Pause of the instance within a body.
constexpr double kPause = 2.2;
constexpr int kTimeoutMs = 4'000;
// The signal comes this long after the uploads.
constexpr double kSignalAfter = 0.3;

struct Upload {
  std::string id;
  double sent = 0;
  double ended = 0;
  Message answer;
};

Upload Send(const CaseSetup& setup, const Gateway& gateway, std::string id) {
  Upload upload{.id = std::move(id)};
  const int fd = Connect(gateway.host(), gateway.front());
  upload.sent = Seconds();
  setup.record->Add("client sends " + upload.id + ", " +
                    std::to_string(kBodyBytes) + " bytes");
  SendAll(fd,
          "POST /upload/1 HTTP/1.1\r\nHost: a.example\r\n"
          "Comfreystand-Request-Id: " +
              upload.id +
              "\r\nComfreystand-Deadline-Ms: " + std::to_string(kTimeoutMs) +
              "\r\nContent-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n" +
              std::string(kBodyBytes, 'u'));
  int unacknowledged = 1;
  while (unacknowledged > 0 && Seconds() < upload.sent + 1) {
    Sleep(0.01);
    ioctl(fd, SIOCOUTQ, &unacknowledged);
  }
  setup.record->Add(
      "of " + upload.id + " " +
      std::to_string(kBodyBytes - static_cast<size_t>(unacknowledged)) +
      " bytes or more have reached the gateway");
  upload.answer = Reader(fd).Read(true, upload.sent + kTimeoutMs / 1e3 + 1);
  upload.ended = Seconds();
  close(fd);
  setup.record->Add("client gets " + std::to_string(upload.answer.Status()) +
                    (upload.answer.complete ? "" : ", no complete answer") +
                    " for " + upload.id + ", stamp '" +
                    upload.answer.Find("Comfreystand-Server-Stamp") + "'");
  return upload;
}

}  // namespace

int RunSlowReaderCase(const CaseSetup& setup) {
  // Kept until the process exits, as their threads are.
  Store& store = *new Store(setup.host);
  Instance& hub = *new Instance(
      &store, setup.record, setup.host,
      {.id = "i-hub",
       .service = "hub",
       .capacity = 8,
       .pause_in_body = setup.trouble ? kPause : 0},
      [](const Message&) { return Instance::Work{.seconds = 0.3}; });
  json route = MakeRoute("/upload/", "hub", false, kTimeoutMs);
  route["kind"] = "upload";
  store.Put("op/config",
            MakeConfig(1, {{"upload", route}}, {{"hub", MakeService()}}));
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
        [&, i] { uploads[i] = Send(setup, gateway, "u" + std::to_string(i)); });
  }
  Sleep(kSignalAfter);
  const double stopped_at = Seconds();
  setup.record->Add("the gateway gets SIGTERM");
  gateway.Signal(SIGTERM);
  for (std::thread& client : clients) {
    client.join();
  }
  int lost = 0;
  const std::set<std::string> begun = hub.Begun();
  for (const Upload& upload : uploads) {
    const bool own_answer = upload.answer.complete &&
                            !upload.answer.Has("Comfreystand-Server-Stamp");
    const bool in_time = upload.ended < upload.sent + kTimeoutMs / 1e3 &&
                         upload.ended > stopped_at;
    if (begun.contains(upload.id) && in_time &&
        (own_answer || !upload.answer.complete)) {
      ++lost;
      setup.record->Add("LOST: " + upload.id + " was broken off after " +
                        std::to_string(upload.ended - upload.sent) +
                        " s, while " + hub.id() + " was at work on it");
    }
  }
  setup.record->Add("uploads: " + std::to_string(kClients) + ", lost " +
                    std::to_string(lost));
  return begun.empty() ? kCouldNotRun : lost > 0 ? kBroken : kHeld;
}

}  // namespace review
