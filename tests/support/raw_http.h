#ifndef COMFREYSTAND_TESTS_SUPPORT_RAW_HTTP_H_
#define COMFREYSTAND_TESTS_SUPPORT_RAW_HTTP_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "comfreystand/event_loop.h"

// Raw exchanges with a server that runs on the same loop.
namespace comfreystand::testing {

enum class AfterSend : uint8_t { kReadToEnd, kCloseAtOnce };

// Sends `bytes` to a port of this machine and returns all that comes back
// until the server closes the connection. Runs the loop meanwhile.
std::string Exchange(EventLoop* loop,
                     uint16_t port,
                     std::string_view bytes,
                     AfterSend after = AfterSend::kReadToEnd);

// Status code of the first answer in `text`, or 0.
int StatusOf(std::string_view text);

// What follows the head of the first answer in `text`.
std::string BodyOf(std::string_view text);

}  // namespace comfreystand::testing

#endif  // COMFREYSTAND_TESTS_SUPPORT_RAW_HTTP_H_
