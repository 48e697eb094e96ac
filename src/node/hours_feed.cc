#include "src/node/hours_feed.h"

#include <numeric>
#include <utility>

#include "src/node/addresses.h"

namespace comfreystand::node {
namespace {

// Time after which the hours are read again.
constexpr Duration kMaxHoursAge = std::chrono::seconds(60);
constexpr int64_t kRecentHours = 72;
constexpr int64_t kSecondsPerHour = 3'600;

hours::LedgerInit MakeLedgerInit(const NodeSettings& settings) {
  hours::LedgerInit init;
  init.node = NodeId(static_cast<uint32_t>(settings.node_id));
  init.domain = settings.domain;
  init.seed = static_cast<uint64_t>(settings.node_id) + 1;
  return init;
}

std::vector<std::string> DomainNames(const RuleSet& rules) {
  std::vector<std::string> names;
  for (const DomainRule& domain : rules.domains)
    names.push_back(domain.name);
  return names;
}

// hours::HourReader adds a separator after the reason of each failure domain.
// Removes the one at the end.
std::string WithoutTrailingSeparator(std::string reason) {
  constexpr std::string_view kSeparator = "; ";
  if (reason.ends_with(kSeparator))
    reason.resize(reason.size() - kSeparator.size());
  return reason;
}

HourStatus ToStatus(const hours::HourStatus& hour) {
  HourStatus status;
  status.start = WallSeconds{hour.hour.value * kSecondsPerHour};
  status.reason = WithoutTrailingSeparator(hour.reason);
  const uint64_t total = hour.counts.answered + hour.counts.failed;
  if (hour.has_value) {
    status.availability =
        Fraction{total == 0 ? 1
                            : static_cast<double>(hour.counts.answered) /
                                  static_cast<double>(total)};
  }
  return status;
}

}  // namespace

HoursFeed::HoursFeed(const NodeSettings& settings,
                     Loop* loop,
                     const Clock* clock,
                     platform::KeyValueStore* store,
                     peer::Transport* transport,
                     const member::Membership* membership)
    : loop_(loop),
      clock_(clock),
      store_(store),
      membership_(membership),
      own_address_(PeerAddressOf(settings)),
      region_(hours::MakeRegionKey(settings.region)),
      ledger_(MakeLedgerInit(settings),
              *loop,
              *clock,
              *store,
              *transport,
              *this) {}

void HoursFeed::Update(const edge::Stats& stats) {
  const uint64_t failed =
      std::accumulate(stats.rejects.begin(), stats.rejects.end(), uint64_t{0});
  for (; answered_ < stats.answers_delivered; ++answered_)
    ledger_.Count(region_, true);
  for (; failed_ < failed; ++failed_)
    ledger_.Count(region_, false);
}

void HoursFeed::Finish() {
  if (finishing_)
    return;
  finishing_ = true;
  ledger_.Finish([this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired())
      finished_ = true;
  });
}

std::vector<HourStatus> HoursFeed::RecentHours(const RuleSet& rules) {
  if (recent_hours_.empty() || loop_->Now() - last_read_ > kMaxHoursAge)
    ReadHours(rules);
  return recent_hours_;
}

void HoursFeed::ReadHours(const RuleSet& rules) {
  last_read_ = loop_->Now();
  reader_ = std::make_unique<hours::HourReader>(hours::LedgerInit().key_prefix,
                                                DomainNames(rules), *store_);
  const hours::Hour last = hours::HourOf(clock_->WallNow());
  const hours::Hour first{last.value - kRecentHours + 1};
  reader_->Read(first, last, hours::RegionKey{},
                [this, alive = std::weak_ptr<bool>(alive_)](
                    platform::StoreStatus status,
                    const std::vector<hours::HourStatus>& read) {
                  if (alive.expired() || status != platform::StoreStatus::kOk)
                    return;
                  recent_hours_.clear();
                  for (const hours::HourStatus& hour : read)
                    recent_hours_.push_back(ToStatus(hour));
                });
}

std::vector<std::string> HoursFeed::RankedAddresses() const {
  std::vector<std::string> addresses;
  for (const member::MemberInfo& member : membership_->MembersByRank()) {
    addresses.push_back(member.address == own_address_ ? std::string()
                                                       : member.address);
  }
  return addresses;
}

int HoursFeed::OwnRank() const {
  return membership_->OwnRank();
}

Incarnation HoursFeed::OwnIncarnation() const {
  return membership_->OwnIncarnation();
}

}  // namespace comfreystand::node
