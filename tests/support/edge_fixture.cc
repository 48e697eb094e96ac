#include "tests/support/edge_fixture.h"
#include "src/loop/reset_on_close.h"

#include <event2/buffer.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <csignal>
#include <cstdlib>

namespace comfreystand::testing {
namespace {

constexpr std::chrono::seconds kRunUntilTimeout{20};
constexpr timeval kPollInterval = {0, 5'000};

}  // namespace

RawCaller::RawCaller(event_base* base, uint16_t port)
    : bev_(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE)) {
  bufferevent_setcb(
      bev_,
      [](bufferevent* bev, void* arg) {
        evbuffer* input = bufferevent_get_input(bev);
        std::string piece(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, piece.data(), piece.size());
        static_cast<RawCaller*>(arg)->received_ += piece;
      },
      nullptr,
      [](bufferevent*, short events, void* arg) {
        auto* self = static_cast<RawCaller*>(arg);
        if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
          self->closed_ = true;
          self->failed_ = (events & BEV_EVENT_ERROR) != 0;
        }
      },
      this);
  bufferevent_enable(bev_, EV_READ | EV_WRITE);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bufferevent_socket_connect(bev_, reinterpret_cast<sockaddr*>(&address),
                             sizeof(address));
}

RawCaller::~RawCaller() {
  Close();
}

void RawCaller::Send(std::string_view bytes) {
  bufferevent_write(bev_, bytes.data(), bytes.size());
}

void RawCaller::Close() {
  if (bev_) {
    bufferevent_free(bev_);
    bev_ = nullptr;
  }
}

void RawCaller::Reset() {
  EnableResetOnClose(bufferevent_getfd(bev_));
  Close();
}

void RawCaller::SetReading(bool enabled) {
  if (enabled) {
    bufferevent_enable(bev_, EV_READ);
  } else {
    bufferevent_disable(bev_, EV_READ);
  }
}

int RawCaller::AnswerCount() const {
  int count = 0;
  for (size_t at = 0;
       (at = received_.find("HTTP/1.1 ", at)) != std::string::npos; ++at) {
    ++count;
  }
  return count;
}

int RawCaller::LastStatus() const {
  const size_t at = received_.rfind("HTTP/1.1 ");
  return at == std::string::npos ? 0 : std::atoi(received_.c_str() + at + 9);
}

std::string FakeTickets::Issue(TimePoint now) {
  return "ours-" + std::to_string(next_ticket_++);
}

edge::TicketVerdict FakeTickets::Redeem(TimePoint now,
                                        std::string_view ticket) {
  if (ticket.starts_with("theirs-")) {
    return edge::TicketVerdict::kOtherIssuer;
  }
  if (!ticket.starts_with("ours-")) {
    return edge::TicketVerdict::kMalformed;
  }
  return redeemed_.emplace(ticket).second ? edge::TicketVerdict::kAccepted
                                          : edge::TicketVerdict::kAlreadyUsed;
}

edge::ServerInit InitWithoutLoadPolling() {
  edge::ServerInit init;
  init.load_poll_interval = Duration(0);
  return init;
}

EdgeFixture::EdgeFixture(int backends, edge::ServerInit init)
    : base(event_base_new()) {
  std::signal(SIGPIPE, SIG_IGN);
  init.services = {{"desk", ClassId()}, {"register", ClassId(1)}};
  init.classes = {{"short", std::chrono::seconds(10)},
                  {"report", std::chrono::seconds(60)}};
  init.sites = {{SiteId(0), "west", {"10.0.0.1:80", "10.0.0.2:80"}},
                {SiteId(1), "south", {"10.1.0.1:80"}}};
  for (int i = 0; i < backends; ++i) {
    const BackendId id(static_cast<uint32_t>(i));
    backends_.push_back(std::make_unique<standins::Backend>(
        base.get(), standins::BackendBehaviour{}));
    backends_.back()->Listen("127.0.0.1:0");
    init.backends.push_back({id, backends_.back()->address()});
    dispatcher.backends.push_back(id);
  }
  lookup.answer.sites = {SiteId(0), SiteId(1)};
  lookup.answer.count = 2;
  lookup.answer.ttl = std::chrono::seconds(30);
  std::string error;
  server = edge::Server::Create(base.get(), &clock, std::move(init), &lookup,
                                &dispatcher, &tickets, &error);
}

EdgeFixture::~EdgeFixture() {
  server.reset();
  backends_.clear();
}

std::unique_ptr<RawCaller> EdgeFixture::OpenCaller(std::string_view bytes) {
  auto caller = std::make_unique<RawCaller>(base.get(), server->GetCaps().port);
  caller->Send(bytes);
  return caller;
}

std::unique_ptr<RawCaller> EdgeFixture::SendUntilClosed(
    std::string_view bytes) {
  auto caller = OpenCaller(bytes);
  RunUntil([&] { return caller->closed(); });
  return caller;
}

bool EdgeFixture::RunUntil(const std::function<bool()>& done) {
  event* poll_event = event_new(
      base.get(), -1, EV_PERSIST, [](evutil_socket_t, short, void*) {},
      nullptr);
  event_add(poll_event, &kPollInterval);
  const TimePoint end = clock.Now() + kRunUntilTimeout;
  while (!done() && clock.Now() < end) {
    event_base_loop(base.get(), EVLOOP_ONCE);
  }
  event_free(poll_event);
  return done();
}

bool EdgeFixture::RunUntilIdle() {
  return RunUntil([this] { return server->IsIdle(); });
}

uint64_t EdgeFixture::FaultCount(edge::Fault fault) const {
  return server->GetStats().faults[static_cast<size_t>(fault)];
}

std::string Request(std::string_view method,
                    std::string_view path,
                    std::string_view headers,
                    std::string_view body) {
  std::string text = std::string(method) + " /v1/s/desk" + std::string(path) +
                     " HTTP/1.1\r\nHost: entry\r\n" + std::string(headers);
  if (!body.empty()) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + std::string(body);
}

}  // namespace comfreystand::testing
