#ifndef COMFREYSTAND_SRC_LOOP_RESET_ON_CLOSE_H_
#define COMFREYSTAND_SRC_LOOP_RESET_ON_CLOSE_H_

#include <sys/socket.h>

namespace comfreystand {

// Makes close() reset the connection. Bytes that the peer has not received are
// then dropped; after an ordinary close() the kernel goes on sending them, and
// they may arrive when a broken path has healed.
inline void EnableResetOnClose(int fd) {
  const linger reset = {.l_onoff = 1, .l_linger = 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

}  // namespace comfreystand

#endif  // COMFREYSTAND_SRC_LOOP_RESET_ON_CLOSE_H_
