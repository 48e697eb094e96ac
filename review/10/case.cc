#include "../harness-2/harness.h"

// Two of ten servers are in trouble and answer with a body that has no end.
// The callers read slowly. Looks for requests that have no final answer half a
// second after their route's time limit.
namespace review {
namespace {

constexpr int kInstances = 10;
// The first of them are in trouble.
constexpr int kInTrouble = 2;
constexpr int kSlots = 12;
constexpr int kCallers = 100;
constexpr int kTimeLimitMs = 3'000;
constexpr int kGoalMs = 800;
// As long as a caller waits.
constexpr int kDeadlineMs = 6'000;
constexpr int kAnswerSlackMs = 500;
constexpr size_t kAnswerBytes = 60'000;
// A caller reads so many bytes, and pauses after that.
constexpr size_t kReadBytes = 4'000;
constexpr int kReadPauseMs = 20;
constexpr int kReceiveBuffer = 8'192;
// The rule counts from eight requests on, and over a quarter.
constexpr int kMinOverdue = 8;

struct Sent {
  std::string id;
  int status = 0;
  // Seconds until the answer was complete or its connection had ended; zero
  // while neither is so.
  double ended_after = 0;
  size_t bytes = 0;
  // Bytes that arrived after the time limit and the slack.
  size_t late_bytes = 0;
};

int ConnectWithSmallBuffer(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer,
             sizeof(kReceiveBuffer));
  const sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

// Whether `received` holds a whole answer.
bool IsComplete(const std::string& received) {
  const size_t head_end = received.find("\r\n\r\n");
  if (head_end == std::string::npos) {
    return false;
  }
  const std::string name = "Content-Length: ";
  const size_t length = received.find(name);
  return length < head_end &&
         received.size() >=
             head_end + 4 + std::stoul(received.substr(length + name.size()));
}

void Call(int port, Sent* request, Record* record) {
  const int fd = ConnectWithSmallBuffer(port);
  const auto begin = Clock::now();
  const auto since = [&begin] {
    return std::chrono::duration<double>(Clock::now() - begin).count();
  };
  SendAll(fd,
          Request("GET", "/report/" + request->id, request->id, kDeadlineMs));
  constexpr double kLate = (kTimeLimitMs + kAnswerSlackMs) / 1e3;
  std::string received;
  while (request->ended_after == 0 && since() < kDeadlineMs / 1e3) {
    pollfd entry = {.fd = fd, .events = POLLIN, .revents = 0};
    if (poll(&entry, 1, 100) > 0) {
      char bytes[kReadBytes];
      const ssize_t size = recv(fd, bytes, sizeof(bytes), 0);
      if (size <= 0) {
        request->ended_after = since();
        break;
      }
      request->bytes += static_cast<size_t>(size);
      request->late_bytes += since() > kLate ? static_cast<size_t>(size) : 0;
      if (received.size() <= 2 * kAnswerBytes) {
        received.append(bytes, static_cast<size_t>(size));
      }
      if (IsComplete(received)) {
        request->ended_after = since();
      }
    }
    Sleep(kReadPauseMs);
  }
  request->status = received.size() > 12 ? std::atoi(received.c_str() + 9) : 0;
  close(fd);
  record->Line("%s: status %d, %zu bytes, %zu of them late, ended after %.3f s",
               request->id.c_str(), request->status, request->bytes,
               request->late_bytes, request->ended_after);
}

bool AnswerWithoutEnd(Instance& self, int fd, const Message& request) {
  const std::string piece(10'000, 'x');
  bool sent = SendAll(fd, self.Head(request, 200) + "\r\n");
  while (sent) {
    sent = SendAll(fd, piece);
  }
  return false;
}

int Run() {
  const Setting setting = Setting::Read();
  // The threads of the stand-ins use these until the process ends.
  Record& record = *new Record(setting.record);
  Store& store = *new Store;
  for (int i = 0; i < kInstances; ++i) {
    const bool in_trouble = i < kInTrouble && setting.trouble;
    Instance& instance = *new Instance(
        "i-" + std::to_string(i), &record,
        [in_trouble](Instance& self, int fd, const Message& request) {
          if (in_trouble) {
            return AnswerWithoutEnd(self, fd, request);
          }
          return Work(fd, 50) &&
                 self.Answer(fd, request, 200, std::string(kAnswerBytes, 'x'));
        });
    store.Put("servers/" + instance.id(), instance.Entry("report", kSlots));
  }
  store.Put("op/config",
            Config(1,
                   {{"report", Route("/report/", "idempotent", "report",
                                     kTimeLimitMs, kGoalMs)}},
                   {{"report", Service()}}));
  Gateway gateway(setting.root, setting.folder, store.port());
  if (!gateway.StartAndWait()) {
    record.Line("the gateway didn't get ready");
    return kCannotRun;
  }
  std::vector<Sent> sent(kCallers);
  std::vector<std::thread> callers;
  for (size_t i = 0; i < sent.size(); ++i) {
    sent[i].id = "r" + std::to_string(i);
    callers.emplace_back(Call, gateway.front(), &sent[i], &record);
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  int in_time = 0;
  int longer = 0;
  int overdue = 0;
  for (const Sent& request : sent) {
    const double ended = request.ended_after;
    if (ended > 0 && ended <= kTimeLimitMs / 1e3) {
      ++in_time;
      continue;
    }
    ++longer;
    if (ended == 0 || ended > (kTimeLimitMs + kAnswerSlackMs) / 1e3) {
      ++overdue;
    }
  }
  record.Line(
      "%d answered in time, %d last longer than the time limit, %d of "
      "them have no final answer %d ms after it",
      in_time, longer, overdue, kAnswerSlackMs);
  if (in_time < kCallers / 4) {
    return kCannotRun;
  }
  return overdue >= kMinOverdue && overdue * 4 > longer ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main() {
  signal(SIGPIPE, SIG_IGN);
  // The threads of the stand-ins still wait for connections.
  _exit(review::Run());
}
