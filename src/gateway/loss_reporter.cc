#include "src/gateway/loss_reporter.h"

#include <algorithm>
#include <utility>

namespace comfreystand::gateway {

LossReporter::LossReporter(EventLoop* loop,
                           NodeSocket* socket,
                           uint64_t self,
                           ReportedCallback on_reported)
    : loop_(loop),
      socket_(socket),
      self_(self),
      on_reported_(std::move(on_reported)) {
  timer_.reset(event_new(
      loop->base(), -1, 0,
      [](evutil_socket_t, short, void* reporter) {
        static_cast<LossReporter*>(reporter)->SendDue();
      },
      this));
  socket->SetHandler(
      NodeSocket::Kind::kLossReport,
      {.on_datagram = [this](std::string_view bytes) { OnDatagram(bytes); },
       .on_batch = [] {}});
}

void LossReporter::OnLost(BackendKey backend) {
  reports_.OnLost(backend, loop_->Now());
  SetTimer();
}

void LossReporter::OnDatagram(std::string_view bytes) {
  const auto report = DecodeLossReport(bytes);
  if (!report || !socket_->nodes().contains(report->sender)) {
    ++datagrams_dropped_;
    return;
  }
  const TimePoint now = loop_->Now();
  for (const BackendKey backend : report->backends) {
    if (on_reported_(backend)) {
      ++losses_learned_;
      reports_.OnReported(backend, report->sender, now);
    }
  }
}

void LossReporter::SendDue() {
  const LossReport report{.sender = self_,
                          .backends = reports_.TakeDue(loop_->Now())};
  losses_reported_ += report.backends.size();
  for (const std::string& datagram : EncodeLossReport(report)) {
    socket_->SendToAll(datagram);
  }
  SetTimer();
}

void LossReporter::SetTimer() {
  const TimePoint next = reports_.NextAt();
  if (next == TimePoint::max()) {
    return;
  }
  const timeval wait =
      ToTimeval(std::max(next - loop_->Now(), Duration::zero()));
  event_add(timer_.get(), &wait);
}

std::vector<admin::MetricSource> LossReporter::Metrics() const {
  const auto source = [this](const char* name, const char* help,
                             uint64_t LossReporter::*counter) {
    return admin::MetricSource{.name = name, .help = help, .read = [=, this] {
                                 return static_cast<double>(this->*counter);
                               }};
  };
  return {source("comfreystand_losses_reported_total",
                 "Losses of contact with backend servers told to other nodes.",
                 &LossReporter::losses_reported_),
          source("comfreystand_losses_learned_total",
                 "Losses of contact that other nodes have told.",
                 &LossReporter::losses_learned_),
          source("comfreystand_loss_datagrams_dropped_total",
                 "Datagrams about losses that were malformed or from unknown "
                 "nodes.",
                 &LossReporter::datagrams_dropped_)};
}

}  // namespace comfreystand::gateway
