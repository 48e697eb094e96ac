// Blocking sockets on loopback addresses, and the HTTP/1.1 that the stand-ins
// and the clients of the cases speak.
#ifndef REVIEW_HARNESS_3_NET_H_
#define REVIEW_HARNESS_3_NET_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline double Seconds() {
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - start).count();
}

inline int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void Sleep(double seconds) {
  if (seconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
}

inline sockaddr_in ToSocketAddress(const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

// Opens a listener; a port of 0 picks a free one. Returns the socket and the
// port, or a socket of -1.
inline std::pair<int, int> Listen(const std::string& host, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = ToSocketAddress(host, port);
  socklen_t size = sizeof(address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return {-1, 0};
  }
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return {fd, ntohs(address.sin_port)};
}

// A free port below those that the system gives to connections, so that it
// stays free until it is used. Each call returns another one.
inline int FreePort(const std::string& host) {
  constexpr int kFirst = 12'000;
  constexpr int kCount = 20'000;
  static std::atomic<int> next = static_cast<int>(getpid()) * 37;
  for (int i = 0; i < kCount; ++i) {
    const auto [fd, port] = Listen(host, kFirst + next++ % kCount);
    if (fd >= 0) {
      close(fd);
      return port;
    }
  }
  return 0;
}

// Returns -1 when the connection can't be established.
inline int Connect(const std::string& host, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToSocketAddress(host, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<size_t>(size);
  }
  return true;
}

// Closes with a reset, so that bytes under way are dropped.
inline void CloseWithReset(int fd) {
  const linger now = {.l_onoff = 1, .l_linger = 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  close(fd);
}

// Whether the peer has closed or reset the connection.
inline bool PeerHasClosed(int fd) {
  pollfd entry = {.fd = fd, .events = POLLRDHUP, .revents = 0};
  return poll(&entry, 1, 0) > 0;
}

struct Message {
  // Request line or status line.
  std::string start;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // The message arrived with its whole body.
  bool complete = false;
  // Nothing of it arrived before the connection ended.
  bool absent = false;

  std::string Find(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
  bool Has(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) {
        return true;
      }
    }
    return false;
  }
  std::string Method() const { return start.substr(0, start.find(' ')); }
  std::string Target() const {
    const size_t begin = start.find(' ') + 1;
    return start.substr(begin, start.rfind(' ') - begin);
  }
  std::string Path() const {
    const std::string target = Target();
    return target.substr(0, target.find('?'));
  }
  int Status() const {
    const size_t at = start.find(' ');
    return at == std::string::npos ? 0 : std::atoi(start.c_str() + at);
  }
};

// Reads messages from a connection, in their order.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  // Called when the head of a message has arrived. Afterwards the reader pauses
  // once if the body hasn't arrived with it.
  void SetHeadHandler(std::function<void(const Message&)> on_head,
                      double pause_in_body) {
    on_head_ = std::move(on_head);
    pause_in_body_ = pause_in_body;
  }

  // Waits until `deadline` (as of Seconds()) at most. A message without a
  // length has no body as a request, and ends with its connection as an answer.
  Message Read(bool is_answer, double deadline) {
    deadline_ = deadline;
    Message message;
    std::string line;
    if (!ReadLine(&line)) {
      message.absent = bytes_.empty() && line.empty();
      return message;
    }
    message.start = line;
    while (ReadLine(&line)) {
      if (line.empty()) {
        on_head_(message);
        message.complete = ReadBody(is_answer, &message);
        return message;
      }
      const size_t colon = line.find(':');
      std::string value = colon < line.size() ? line.substr(colon + 1) : "";
      value.erase(0, value.find_first_not_of(' '));
      message.headers.emplace_back(line.substr(0, colon), value);
    }
    return message;
  }

  bool ended() const { return ended_; }

 private:
  bool Fill() {
    while (!ended_) {
      const double left = deadline_ - Seconds();
      if (left <= 0) {
        return false;
      }
      pollfd entry = {.fd = fd_, .events = POLLIN, .revents = 0};
      if (poll(&entry, 1, static_cast<int>(left * 1'000) + 1) <= 0) {
        return false;
      }
      char buffer[65'536];
      const ssize_t size = recv(fd_, buffer, sizeof(buffer), 0);
      if (size > 0) {
        bytes_.append(buffer, static_cast<size_t>(size));
        return true;
      }
      reset_ = size < 0;
      ended_ = true;
    }
    return false;
  }

  bool ReadLine(std::string* line) {
    size_t end = bytes_.find("\r\n");
    while (end == std::string::npos) {
      if (!Fill()) {
        return false;
      }
      end = bytes_.find("\r\n");
    }
    *line = bytes_.substr(0, end);
    bytes_.erase(0, end + 2);
    return true;
  }

  bool ReadBytes(size_t size, std::string* body) {
    while (bytes_.size() < size) {
      if (!Fill()) {
        body->append(bytes_);
        bytes_.clear();
        return false;
      }
    }
    body->append(bytes_, 0, size);
    bytes_.erase(0, size);
    return true;
  }

  bool ReadBody(bool is_answer, Message* message) {
    if (message->Has("Content-Length")) {
      if (bytes_.size() < std::stoul(message->Find("Content-Length"))) {
        Sleep(pause_in_body_);
      }
      return ReadBytes(std::stoul(message->Find("Content-Length")),
                       &message->body);
    }
    if (message->Has("Transfer-Encoding")) {
      std::string line;
      while (ReadLine(&line)) {
        const size_t size = std::stoul(line, nullptr, 16);
        if (size > 0 && !ReadBytes(size, &message->body)) {
          return false;
        }
        if (!ReadLine(&line)) {
          return false;
        }
        if (size == 0) {
          return true;
        }
      }
      return false;
    }
    if (!is_answer) {
      return true;
    }
    while (Fill()) {
    }
    message->body.append(bytes_);
    bytes_.clear();
    return ended_ && !reset_;
  }

  const int fd_;
  double deadline_ = 0;
  double pause_in_body_ = 0;
  std::function<void(const Message&)> on_head_ = [](const Message&) {};
  std::string bytes_;
  bool ended_ = false;
  bool reset_ = false;
};

}  // namespace review

#endif  // REVIEW_HARNESS_3_NET_H_
