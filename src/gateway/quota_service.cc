#include "src/gateway/quota_service.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <utility>

#include "comfreystand/log.h"

namespace comfreystand::gateway {
namespace {

// A VM that was suspended for less loses no lease that matters: pledges and
// tokens have larger margins.
constexpr std::chrono::milliseconds kMinSuspension{40};
// The two clocks are read one after the other, and the process may have to wait
// in between.
constexpr int kClockReads = 3;
constexpr std::chrono::seconds kLogInterval{1};

Duration ReadClock(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::duration_cast<Duration>(
             std::chrono::nanoseconds(time.tv_nsec));
}

// Time that the steady clock has stood still since the start of the VM.
Duration SuspendedTime() {
  const Duration steady = ReadClock(CLOCK_MONOTONIC);
  return ReadClock(CLOCK_BOOTTIME) - steady;
}

uint64_t NewIncarnation() {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<Duration>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

edge::AdmissionGate::Answer ToAnswer(const quota::Decision& decision) {
  using Verdict = edge::AdmissionGate::Verdict;
  constexpr std::array<Verdict, 3> kVerdicts = {
      Verdict::kAdmitted, Verdict::kRefused, Verdict::kWaiting};
  return {.verdict = kVerdicts[static_cast<size_t>(decision.verdict)],
          .retry_after = decision.retry_after,
          .ticket = decision.ticket.value};
}

}  // namespace

QuotaService::QuotaService(EventLoop* loop,
                           NodeSocket* socket,
                           const std::string& name)
    : loop_(loop),
      socket_(socket),
      self_(StableHash(name)),
      suspended_(SuspendedTime()),
      node_(self_, NewIncarnation(), loop->Now()) {
  timer_.reset(event_new(
      loop->base(), -1, 0,
      [](evutil_socket_t, short, void* self) {
        auto* service = static_cast<QuotaService*>(self);
        service->timer_at_ = TimePoint::max();
        service->Run();
      },
      this));
  socket->SetHandler(NodeSocket::Kind::kQuota,
                     {.on_datagram =
                          [this](std::string_view bytes) {
                            if (node_.has_limits()) {
                              node_.Receive(bytes, Now());
                            }
                          },
                      .on_batch =
                          [this] {
                            if (node_.has_limits()) {
                              Run();
                            }
                          }});
}

TimePoint QuotaService::Now() {
  Duration suspended = SuspendedTime();
  for (int i = 1; i < kClockReads && suspended - suspended_ > kMinSuspension;
       ++i) {
    suspended = std::min(suspended, SuspendedTime());
  }
  const TimePoint now = loop_->Now();
  if (suspended - suspended_ > kMinSuspension) {
    LogStateChange(
        "quota", "resumed-after-pause",
        {{"ms", std::to_string((suspended - suspended_).count() / 1'000)}},
        LogLevel::kWarn);
    suspended_ = suspended;
    node_.OnPause(now);
  }
  return now;
}

void QuotaService::SetQuotas(
    const std::vector<TrafficOrganisation>& organisations,
    OrganisationRegistry* ids) {
  const TimePoint now = Now();
  std::vector<quota::Limit> limits;
  keys_.clear();
  for (const TrafficOrganisation& organisation : organisations) {
    const OrganisationId id = ids->IdOf(organisation.name);
    if (!organisation.quota || id == OrganisationId{}) {
      continue;
    }
    const quota::OrganisationKey key(StableHash(organisation.name));
    keys_[id.value] = key;
    limits.push_back({.organisation = key,
                      .rate = organisation.quota->rate,
                      .burst = organisation.quota->burst,
                      .is_blocked = organisation.quota->rate.value <= 0});
  }
  if (limits.empty() && !node_.has_limits()) {
    return;
  }
  LogStateChange("quota", "limits-installed",
                 {{"organisations", std::to_string(limits.size())}});
  node_.SetLimits(limits, now);
  Run();
}

void QuotaService::SetNodes(const steer::PeerNodes& nodes) {
  std::vector<quota::NodeHash> owners;
  for (const auto& [node, address] : socket_->nodes()) {
    owners.push_back(node);
  }
  owners.push_back(self_);
  node_.SetNodes(std::move(owners), nodes.live.size(), nodes.has_share, Now());
  SetTimer();
}

void QuotaService::SetStoreReadable(bool readable) {
  node_.SetStoreReadable(readable, Now());
}

quota::OrganisationKey QuotaService::KeyOf(
    const edge::RelayRequest& request) const {
  const auto it = keys_.find(request.organisation.value);
  return it == keys_.end() ? quota::OrganisationKey() : it->second;
}

edge::AdmissionGate::Answer QuotaService::Admit(
    const edge::RelayRequest& request,
    Callback done) {
  const quota::OrganisationKey key =
      keys_.empty() ? quota::OrganisationKey() : KeyOf(request);
  if (!key.IsValid()) {
    return {};
  }
  const quota::Decision decision =
      node_.Admit(key, request.traits.deadline, Now());
  if (decision.verdict == quota::Verdict::kWaiting) {
    waiting_[decision.ticket.value] = std::move(done);
  }
  SetTimer();
  return ToAnswer(decision);
}

void QuotaService::Cancel(const edge::RelayRequest& request, uint64_t ticket) {
  waiting_.erase(ticket);
  node_.Cancel(KeyOf(request), quota::Ticket(ticket));
}

void QuotaService::OnNotRun(const edge::RelayRequest& request) {
  if (!keys_.empty()) {
    node_.GiveBack(KeyOf(request));
  }
}

void QuotaService::Run() {
  const TimePoint now = Now();
  if (node_.NextAt() <= now) {
    node_.Advance(now);
  }
  for (const quota::QuotaNode::Packet& packet : node_.TakePackets(now)) {
    socket_->Send(packet.to, packet.bytes);
  }
  for (const quota::Decision& decision : node_.TakeDecisions()) {
    const auto waiting = waiting_.extract(decision.ticket.value);
    // Empty when an earlier callback has cancelled the request.
    if (!waiting.empty()) {
      waiting.mapped()(ToAnswer(decision));
    }
  }
  LogOwnerChanges(now);
  SetTimer();
}

void QuotaService::SetTimer() {
  const TimePoint next =
      node_.HasDecisions() ? TimePoint::min() : node_.NextAt();
  if (next >= timer_at_) {
    return;
  }
  timer_at_ = next;
  const TimePoint now = loop_->Now();
  const Duration left = next <= now ? Duration(0) : next - now;
  const timeval wait = ToTimeval(left);
  event_add(timer_.get(), &wait);
}

void QuotaService::LogOwnerChanges(TimePoint now) {
  const uint64_t changes = node_.GetStats().client.owner_changes;
  if (changes == logged_owner_changes_ ||
      now < owner_changes_logged_at_ + kLogInterval) {
    return;
  }
  LogStateChange(
      "quota", "owners-changed",
      {{"organisations", std::to_string(changes - logged_owner_changes_)}});
  logged_owner_changes_ = changes;
  owner_changes_logged_at_ = now;
}

Fraction QuotaService::ShareOf(const std::string& organisation) const {
  return node_.ShareOf(quota::OrganisationKey(StableHash(organisation)));
}

std::vector<admin::MetricSource> QuotaService::Metrics() const {
  struct Metric {
    const char* name;
    const char* help;
    bool is_counter;
    double (*read)(const quota::NodeStats& stats);
  };
  static constexpr Metric kMetrics[] = {
      {"comfreystand_quota_granted_total", "Requests admitted by quotas.", true,
       [](const quota::NodeStats& s) {
         return static_cast<double>(s.client.granted);
       }},
      {"comfreystand_quota_refused_total", "Requests refused by quotas.", true,
       [](const quota::NodeStats& s) {
         return static_cast<double>(s.client.refused);
       }},
      {"comfreystand_quota_waiting", "Requests that wait for a token.", false,
       [](const quota::NodeStats& s) {
         return static_cast<double>(s.client.waiting);
       }},
      {"comfreystand_quota_owner_changes_total",
       "Changes of the owner of an organisation, as seen by this node.", true,
       [](const quota::NodeStats& s) {
         return static_cast<double>(s.client.owner_changes);
       }},
      {"comfreystand_quota_standby_total",
       "Requests admitted by standby rates, without an owner's answer.", true,
       [](const quota::NodeStats& s) {
         return static_cast<double>(s.client.standby_used);
       }},
      {"comfreystand_quota_datagrams_sent_total",
       "Datagrams about quotas sent.", true,
       [](const quota::NodeStats& s) {
         return static_cast<double>(s.datagrams_sent);
       }},
      {"comfreystand_quota_bytes_sent_total", "Bytes of these datagrams.", true,
       [](const quota::NodeStats& s) {
         return static_cast<double>(s.bytes_sent);
       }},
      {"comfreystand_quota_datagrams_dropped_total",
       "Datagrams of unknown versions, for other nodes or of earlier "
       "processes.",
       true,
       [](const quota::NodeStats& s) {
         return static_cast<double>(s.datagrams_dropped);
       }},
  };
  std::vector<admin::MetricSource> sources;
  for (const Metric& metric : kMetrics) {
    sources.push_back({.name = metric.name,
                       .help = metric.help,
                       .is_counter = metric.is_counter,
                       .read = [this, read = metric.read] {
                         return read(node_.GetStats());
                       }});
  }
  return sources;
}

}  // namespace comfreystand::gateway
