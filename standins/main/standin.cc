#include <event2/event.h>
#include <netinet/in.h>
#include <popt.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <string>
#include <vector>

#include "comfreystand/event_loop.h"
#include "standins/backend.h"
#include "standins/store.h"

// Runs a stand-in for the platform's store or for a backend server as a
// process. The first line of its output is the port or the address it listens
// on.
namespace {

struct BaseDeleter {
  void operator()(event_base* base) const { event_base_free(base); }
};
using BasePtr = std::unique_ptr<event_base, BaseDeleter>;

// Runs the loop until SIGTERM or SIGINT.
void RunUntilStopped(event_base* base) {
  const auto stop = [](evutil_socket_t, short, void* arg) {
    event_base_loopbreak(static_cast<event_base*>(arg));
  };
  event* term = evsignal_new(base, SIGTERM, stop, base);
  event* interrupt = evsignal_new(base, SIGINT, stop, base);
  event_add(term, nullptr);
  event_add(interrupt, nullptr);
  event_base_dispatch(base);
  event_free(term);
  event_free(interrupt);
}

// Prints the port and runs until SIGTERM or SIGINT.
int Serve(comfreystand::EventLoop* loop, uint16_t port) {
  if (port == 0) {
    std::fprintf(stderr, "store: can't listen on the address\n");
    return 1;
  }
  std::printf("%u\n", port);
  std::fflush(stdout);
  RunUntilStopped(loop->base());
  return 0;
}

int RunBackend(int argc, const char** argv) {
  char* address = nullptr;
  char* behaviour = nullptr;
  const std::array<poptOption, 4> options = {{
      {"listen", 'l', POPT_ARG_STRING, static_cast<void*>(&address), 0,
       "address and port, default 127.0.0.1:0", "A.B.C.D:PORT"},
      {"behaviour", 'b', POPT_ARG_STRING, static_cast<void*>(&behaviour), 0,
       "JSON as taken by POST /control", "JSON"},
      POPT_AUTOHELP POPT_TABLEEND,
  }};
  poptContext context =
      poptGetContext("backend", argc, argv, options.data(), 0);
  const int parsed = poptGetNextOpt(context);
  poptFreeContext(context);
  if (parsed < -1) {
    std::fprintf(stderr, "backend: %s\n", poptStrerror(parsed));
    return 2;
  }
  const BasePtr base(comfreystand::NewPreciseEventBase());
  comfreystand::standins::Backend backend(base.get(), {});
  if (behaviour && !backend.ApplyControl(behaviour)) {
    std::fprintf(
        stderr,
        "backend: --behaviour is not a JSON object with valid fields\n");
    return 2;
  }
  if (!backend.Listen(address ? address : "127.0.0.1:0")) {
    std::fprintf(stderr, "backend: can't listen on the address\n");
    return 1;
  }
  std::printf("%s\n", backend.address().c_str());
  std::fflush(stdout);
  RunUntilStopped(base.get());
  return 0;
}

int RunStore(int argc, const char** argv) {
  comfreystand::EventLoop loop;
  const comfreystand::standins::Store store(&loop,
                                            argc > 1 ? argv[1] : "127.0.0.1:0");
  return Serve(&loop, store.port());
}

// Prints `count` different free ports, one a line. They are free on all
// addresses when printed; other processes may bind them later.
int PrintPorts(int argc, const char** argv) {
  const int count = argc > 1 ? std::atoi(argv[1]) : 1;
  std::vector<int> sockets;
  for (int i = 0; i < count; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    socklen_t size = sizeof(address);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
      return 1;
    std::printf("%u\n", ntohs(address.sin_port));
    sockets.push_back(fd);
  }
  for (const int fd : sockets)
    close(fd);
  return 0;
}

struct Command {
  const char* name;
  int (*run)(int argc, const char** argv);
  const char* help;
};

constexpr std::array<Command, 3> kCommands = {{
    {"store", &RunStore, "the platform's store; takes A.B.C.D:PORT"},
    {"ports", &PrintPorts, "prints N free ports"},
    {"backend", &RunBackend, "a backend server"},
}};

int PrintUsage() {
  std::fprintf(stderr, "usage: comfreystand-standin VERB [OPTION...]\n");
  for (const Command& command : kCommands) {
    std::fprintf(stderr, "  %-10s %s\n", command.name, command.help);
  }
  return 2;
}

}  // namespace

int main(int argc, const char** argv) {
  if (argc < 2) {
    return PrintUsage();
  }
  for (const Command& command : kCommands) {
    if (std::strcmp(argv[1], command.name) == 0) {
      return command.run(argc - 1, argv + 1);
    }
  }
  return PrintUsage();
}
