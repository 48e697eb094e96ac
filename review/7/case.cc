#include "../harness-2/harness.h"

// Callers send two idempotent requests at once on a kept connection. The first
// waits for a slot of a busy server, the second is at work on another server
// when the entry VM, which was told to stop, refuses the first and closes the
// connection.
namespace review {
namespace {

constexpr int kConnections = 20;
constexpr int kDeskSlots = 3;
constexpr int kDeskWorkMs = 300;
constexpr int kRegisterSlots = 30;
constexpr int kRegisterWorkMs = 450;
constexpr int kStaggerMs = 40;
constexpr int kStopAtMs = 1'500;
// The callers send on for so long after the start.
constexpr int kLengthMs = 5'500;

struct Sent {
  std::string id;
  bool answered = false;
};

void WaitAsTold(const Message& refusal) {
  const double seconds = std::atof(refusal.Header("retry-after").c_str());
  Sleep(static_cast<int>(std::min(seconds, 2.0) * 1'000));
}

// One caller: keeps its connection and sends pairs until it is closed.
void Call(int port,
          int number,
          Clock::time_point end,
          std::vector<Sent>* second_requests,
          Record* record) {
  int pair = 0;
  // The callers don't send in step.
  Sleep(number * kStaggerMs);
  while (Clock::now() < end) {
    const int fd = Connect(port);
    if (fd < 0) {
      Sleep(50);
      continue;
    }
    Reader reader(fd);
    bool open = true;
    while (open && Clock::now() < end) {
      const std::string name =
          std::to_string(number) + "-" + std::to_string(++pair);
      Sent second{.id = "register-" + name};
      if (!SendAll(fd,
                   Request("GET", "/desk/" + name, "desk-" + name, 6'000) +
                       Request("GET", "/register/" + name, second.id, 6'000))) {
        break;
      }
      record->Line("caller %d sends desk-%s and %s", number, name.c_str(),
                   second.id.c_str());
      Message first_answer;
      open = reader.Read(&first_answer, 8'000);
      if (open) {
        if (first_answer.Status() == 503) {
          WaitAsTold(first_answer);
        }
        Message answer;
        second.answered = reader.Read(&answer, 8'000);
        open = second.answered &&
               first_answer.Header("connection") != "close" &&
               answer.Header("connection") != "close";
      }
      record->Line("caller %d got %d for desk-%s, %s for %s", number,
                   first_answer.Status(), name.c_str(),
                   second.answered ? "an answer" : "nothing",
                   second.id.c_str());
      second_requests->push_back(second);
    }
    close(fd);
  }
}

int Run() {
  const Setting setting = Setting::Read();
  // The threads of the stand-ins use these until the process ends.
  Record& record = *new Record(setting.record);
  Store& store = *new Store;
  auto& busy = *new std::atomic<int>(0);
  Instance& desk = *new Instance(
      "i-desk", &record, [&](Instance& self, int fd, const Message& request) {
        // Queues what exceeds its slots.
        while (busy.fetch_add(1) >= kDeskSlots) {
          --busy;
          if (PeerLeft(fd)) {
            return false;
          }
          Sleep(3);
        }
        const bool done = Work(fd, kDeskWorkMs);
        --busy;
        return done && self.Answer(fd, request, 200, "desk");
      });
  Instance& registry = *new Instance(
      "i-register", &record,
      [&](Instance& self, int fd, const Message& request) {
        if (!Work(fd, kRegisterWorkMs)) {
          record.Line("instance i-register is left during %s",
                      request.Header("comfreystand-request-id").c_str());
          return false;
        }
        return self.Answer(fd, request, 200, "register");
      });
  store.Put("servers/i-desk", desk.Entry("desk", kDeskSlots));
  store.Put("servers/i-register", registry.Entry("register", kRegisterSlots));
  store.Put("op/config",
            Config(1,
                   {{"desk", Route("/desk/", "idempotent", "desk", 3'000, 800)},
                    {"register", Route("/register/", "idempotent", "register",
                                       3'000, 800)}},
                   {{"desk", Service()}, {"register", Service()}}));
  Gateway gateway(setting.root, setting.folder, store.port());
  if (!gateway.StartAndWait()) {
    record.Line("the gateway didn't get ready");
    return kCannotRun;
  }
  const auto begin = Clock::now();
  std::vector<std::vector<Sent>> sent(kConnections);
  std::vector<std::thread> callers;
  for (int i = 0; i < kConnections; ++i) {
    callers.emplace_back(Call, gateway.front(), i,
                         begin + std::chrono::milliseconds(kLengthMs),
                         &sent[static_cast<size_t>(i)], &record);
  }
  Sleep(kStopAtMs);
  if (setting.trouble) {
    record.Line("SIGTERM");
    gateway.Signal(SIGTERM);
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  int total = 0;
  int lost = 0;
  for (const auto& requests : sent) {
    for (const Sent& request : requests) {
      ++total;
      const int runs = registry.Runs(request.id);
      if (!request.answered && runs > 0) {
        ++lost;
        record.Line("LOST: %s was passed on (%d) and got no answer",
                    request.id.c_str(), runs);
      }
    }
  }
  record.Line("%d second requests, %d passed on and not answered", total, lost);
  if (total < 20) {
    return kCannotRun;
  }
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main() {
  signal(SIGPIPE, SIG_IGN);
  // The threads of the stand-ins still wait for connections.
  _exit(review::Run());
}
