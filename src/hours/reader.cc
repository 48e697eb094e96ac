#include <algorithm>
#include <set>
#include <utility>

#include "src/hours/segment.h"

namespace comfreystand::hours {
namespace {

// Most nodes that a reason names.
constexpr size_t kMaxNamed = 8;

// What one failure domain's values say of one hour.
void AddDomain(const Segment& segment,
               const std::string& domain,
               RegionKey region,
               HourStatus* status) {
  const int64_t begin = status->hour.value * kSecondsPerHour;
  const int64_t end = begin + kSecondsPerHour;
  bool reported = false;
  size_t named = 0;
  for (const auto& [life, reporter] : segment.Reporters()) {
    if (reporter.started >= end || reporter.reported < begin) {
      continue;
    }
    reported = true;
    if (reporter.reported < end && !reporter.finished && named++ < kMaxNamed) {
      status->reason += "node " + std::to_string(life.first) + " of " + domain +
                        " last reported " +
                        std::to_string(reporter.reported - begin) +
                        " s into the hour; ";
    }
  }
  for (const auto& [key, counts] : segment.Records()) {
    const bool wanted = region.value == 0 || std::get<3>(key) == region.value;
    if (std::get<0>(key) == status->hour.value && wanted) {
      status->counts.answered += counts.answered;
      status->counts.failed += counts.failed;
      reported = true;
    }
  }
  status->has_value |= reported;
  if (!reported) {
    status->reason += "no report from " + domain + "; ";
  }
}

}  // namespace

class HourReader::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(std::string prefix,
       std::vector<std::string> domains,
       platform::KeyValueStore& store)
      : prefix_(std::move(prefix)),
        domains_(std::move(domains)),
        store_(store) {}

  void Read(Hour first, Hour last, RegionKey region, StatusCallback done);

 private:
  struct Walk {
    Hour first;
    Hour last;
    RegionKey region;
    StatusCallback done;
    // Keys still to read, with the domain that each belongs to.
    std::vector<std::pair<std::string, std::string>> keys;
    std::map<std::string, Segment> domains;
    std::set<std::string> damaged;
  };

  void Next(const std::shared_ptr<Walk>& walk);
  void Finish(const Walk& walk) const;

  std::string prefix_;
  std::vector<std::string> domains_;
  platform::KeyValueStore& store_;
};

void HourReader::Impl::Read(Hour first,
                            Hour last,
                            RegionKey region,
                            StatusCallback done) {
  auto walk = std::make_shared<Walk>();
  walk->first = first;
  walk->last = last;
  walk->region = region;
  walk->done = std::move(done);
  for (const std::string& domain : domains_) {
    walk->domains[domain];
    for (int64_t day = first.value / kHoursPerDay;
         day <= last.value / kHoursPerDay; ++day) {
      const std::string key = DayKey(prefix_, day, domain);
      walk->keys.emplace_back(key, domain);
      walk->keys.emplace_back(key + "-beside", domain);
    }
  }
  Next(walk);
}

void HourReader::Impl::Next(const std::shared_ptr<Walk>& walk) {
  if (walk->keys.empty()) {
    Finish(*walk);
    return;
  }
  const auto [key, domain] = walk->keys.back();
  walk->keys.pop_back();
  store_.Get(key, [self = shared_from_this(), walk, domain = domain](
                      platform::StoreStatus status,
                      const platform::StoreEntry& entry) {
    wire::HourSegment parsed;
    if (status == platform::StoreStatus::kOk &&
        parsed.ParseFromString(entry.value)) {
      walk->domains[domain].Merge(parsed);
    } else if (status == platform::StoreStatus::kOk) {
      walk->damaged.insert(domain);
    } else if (status != platform::StoreStatus::kNotFound) {
      walk->done(status, {});
      return;
    }
    self->Next(walk);
  });
}

void HourReader::Impl::Finish(const Walk& walk) const {
  std::vector<HourStatus> hours;
  for (int64_t hour = walk.first.value; hour <= walk.last.value; ++hour) {
    HourStatus& status = hours.emplace_back();
    status.hour = {hour};
    for (const auto& [domain, segment] : walk.domains) {
      AddDomain(segment, domain, walk.region, &status);
      if (walk.damaged.contains(domain)) {
        status.reason += "a stored value of " + domain + " is damaged; ";
      }
    }
  }
  walk.done(platform::StoreStatus::kOk, hours);
}

HourReader::HourReader(std::string key_prefix,
                       std::vector<std::string> domains,
                       platform::KeyValueStore& store)
    : impl_(std::make_shared<Impl>(std::move(key_prefix),
                                   std::move(domains),
                                   store)) {}

HourReader::~HourReader() = default;

void HourReader::Read(Hour first,
                      Hour last,
                      RegionKey region,
                      StatusCallback done) {
  impl_->Read(first, last, region, std::move(done));
}

}  // namespace comfreystand::hours
