#ifndef COMFREYSTAND_TESTS_SUPPORT_RAW_HTTP_H_
#define COMFREYSTAND_TESTS_SUPPORT_RAW_HTTP_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "comfreystand/event_loop.h"

// Sends raw bytes to a server that runs on the same event loop.
namespace comfreystand::testing {

// What SendAndReceive() does after it has sent the request.
enum class AfterSend : uint8_t { kReadUntilClosed, kCloseImmediately };

// Sends `bytes` to a local port and returns everything received until the
// server closes the connection, or nothing with kCloseImmediately. Runs the
// loop.
std::string SendAndReceive(EventLoop* loop,
                           uint16_t port,
                           std::string_view bytes,
                           AfterSend after = AfterSend::kReadUntilClosed);

// Status code of the first answer in `text`, or 0.
int StatusOf(std::string_view text);

// Everything after the head of the first answer in `text`.
std::string BodyOf(std::string_view text);

}  // namespace comfreystand::testing

#endif  // COMFREYSTAND_TESTS_SUPPORT_RAW_HTTP_H_
