#include "../harness-2/harness.h"

// One of two servers spoils a few of its answers: in one header line of the
// head the colon is missing, so that the bytes are no HTTP answer. Looks for
// successes that bear another stamp than the server's.
namespace review {
namespace {

constexpr int kCallers = 8;
constexpr int kRequestsEach = 60;
// Share of its answers that the faulty server spoils, in percent.
constexpr int kSpoiledPercent = 3;

struct Sent {
  std::string id;
  int status = 0;
  std::string stamp;
};

// Stamps that the servers gave, by request.
struct Stamps {
  std::mutex mutex;
  std::map<std::string, std::set<std::string>> given;
  int answers = 0;
  int spoiled = 0;
};

bool AnswerRequest(Instance& self,
                   int fd,
                   const Message& request,
                   bool is_faulty,
                   Stamps* stamps,
                   Record* record) {
  const std::string id = request.Header("comfreystand-request-id");
  const std::string stamp = self.id() + "." + id;
  bool spoils = false;
  {
    const std::lock_guard lock(stamps->mutex);
    stamps->given[id].insert(stamp);
    if (is_faulty) {
      ++stamps->answers;
      spoils = stamps->spoiled * 100 < stamps->answers * kSpoiledPercent;
      stamps->spoiled += spoils ? 1 : 0;
    }
  }
  if (spoils) {
    record->Line("instance %s spoils a header line of its answer to %s",
                 self.id().c_str(), id.c_str());
  }
  const std::string type =
      spoils ? "Content-Type text/plain\r\n" : "Content-Type: text/plain\r\n";
  const std::string body = "report of " + id + "\n";
  return Work(fd, 10) &&
         SendAll(fd, self.Head(request, 200) + type + "Content-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body);
}

void Call(int port, int number, std::vector<Sent>* sent, Record* record) {
  int fd = -1;
  std::unique_ptr<Reader> reader;
  for (int i = 0; i < kRequestsEach; ++i) {
    if (fd < 0) {
      fd = Connect(port);
      reader = std::make_unique<Reader>(fd);
    }
    Sent request;
    request.id = "r" + std::to_string(number) + "-" + std::to_string(i);
    Message answer;
    if (SendAll(fd,
                Request("GET", "/report/" + request.id, request.id, 3'000)) &&
        reader->Read(&answer, 5'000)) {
      request.status = answer.Status();
      request.stamp = answer.Header("comfreystand-server-stamp");
    }
    if (request.status == 0 || answer.Header("connection") == "close") {
      close(fd);
      fd = -1;
    }
    record->Line("caller %d sent %s and got %d, stamp \"%s\"", number,
                 request.id.c_str(), request.status, request.stamp.c_str());
    sent->push_back(request);
  }
}

int Run() {
  const Setting setting = Setting::Read();
  // The threads of the stand-ins use these until the process ends.
  Record& record = *new Record(setting.record);
  Store& store = *new Store;
  Stamps& stamps = *new Stamps;
  for (const bool is_faulty : {false, true}) {
    const std::string id = is_faulty ? "i-faulty" : "i-sound";
    const bool spoils = is_faulty && setting.trouble;
    Instance& instance = *new Instance(
        id, &record,
        [&stamps, &record, spoils](Instance& self, int fd,
                                   const Message& request) {
          return AnswerRequest(self, fd, request, spoils, &stamps, &record);
        });
    store.Put("servers/" + id, instance.Entry("report", 5));
  }
  store.Put("op/config", Config(1,
                                {{"report", Route("/report/", "idempotent",
                                                  "report", 3'000, 800)}},
                                {{"report", Service()}}));
  Gateway gateway(setting.root, setting.folder, store.port());
  if (!gateway.StartAndWait()) {
    record.Line("the gateway didn't get ready");
    return kCannotRun;
  }
  std::vector<std::vector<Sent>> sent(kCallers);
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back(Call, gateway.front(), i,
                         &sent[static_cast<size_t>(i)], &record);
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  int successes = 0;
  int mixed = 0;
  for (const auto& requests : sent) {
    for (const Sent& request : requests) {
      const bool success = request.status >= 200 && request.status < 300;
      successes += success ? 1 : 0;
      if (success && !stamps.given[request.id].contains(request.stamp)) {
        ++mixed;
        record.Line(
            "MIXED: %s got %d with the stamp \"%s\", which no server "
            "gave",
            request.id.c_str(), request.status, request.stamp.c_str());
      }
    }
  }
  record.Line(
      "%d successes, %d with a stamp that no server gave; %d of %d "
      "answers of the faulty server were spoiled",
      successes, mixed, stamps.spoiled, stamps.answers);
  if (successes < kCallers * kRequestsEach / 2) {
    return kCannotRun;
  }
  return mixed > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main() {
  signal(SIGPIPE, SIG_IGN);
  // The threads of the stand-ins still wait for connections.
  _exit(review::Run());
}
