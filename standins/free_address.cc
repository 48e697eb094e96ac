#include "standins/free_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

namespace comfreystand::standins {

std::string ProcessLoopbackHost() {
  const auto pid = static_cast<uint32_t>(getpid());
  return "127." + std::to_string(1 + ((pid >> 16) & 0x7f)) + "." +
         std::to_string((pid >> 8) & 0xff) + "." + std::to_string(pid & 0xff);
}

std::string FreeAddress(const std::string& host) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  socklen_t size = sizeof(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), size) == 0) {
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  }
  close(fd);
  return host + ":" + std::to_string(ntohs(address.sin_port));
}

}  // namespace comfreystand::standins
