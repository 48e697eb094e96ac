#include <algorithm>
#include <set>
#include <utility>

#include "src/hours/segment.h"

namespace comfreystand::hours {
namespace {

// Maximum number of nodes that a reason lists per failure domain.
constexpr size_t kMaxNamedNodes = 8;

// Adds the counts of one failure domain, and reasons why they may be
// incomplete, to the status of an hour.
void AddDomainCounts(const Segment& segment,
                     const std::string& domain,
                     RegionKey region,
                     HourStatus* status) {
  const int64_t begin = status->hour.value * kSecondsPerHour;
  const int64_t end = begin + kSecondsPerHour;
  bool reported = false;
  size_t named_nodes = 0;
  for (const auto& [reporter_key, reporter] : segment.Reporters()) {
    if (reporter.started >= end || reporter.reported < begin) {
      continue;
    }
    reported = true;
    if (reporter.reported < end && !reporter.finished &&
        named_nodes++ < kMaxNamedNodes) {
      status->reason += "node " + std::to_string(reporter_key.first) + " of " +
                        domain + " last reported " +
                        std::to_string(reporter.reported - begin) +
                        " s into the hour; ";
    }
  }
  for (const auto& [key, counts] : segment.Records()) {
    const bool in_region =
        region.value == 0 || std::get<3>(key) == region.value;
    if (std::get<0>(key) == status->hour.value && in_region) {
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
  struct ReadOperation {
    Hour first;
    Hour last;
    RegionKey region;
    StatusCallback done;
    // Keys still to read, with the domain that each belongs to.
    std::vector<std::pair<std::string, std::string>> keys_to_read;
    std::map<std::string, Segment> segments_by_domain;
    std::set<std::string> damaged_domains;
  };

  void ReadNext(const std::shared_ptr<ReadOperation>& operation);
  void Finish(const ReadOperation& operation) const;

  std::string prefix_;
  std::vector<std::string> domains_;
  platform::KeyValueStore& store_;
};

void HourReader::Impl::Read(Hour first,
                            Hour last,
                            RegionKey region,
                            StatusCallback done) {
  auto operation = std::make_shared<ReadOperation>();
  operation->first = first;
  operation->last = last;
  operation->region = region;
  operation->done = std::move(done);
  for (const std::string& domain : domains_) {
    operation->segments_by_domain[domain];
    for (int64_t day = first.value / kHoursPerDay;
         day <= last.value / kHoursPerDay; ++day) {
      const std::string key = DayKey(prefix_, day, domain);
      operation->keys_to_read.emplace_back(key, domain);
      operation->keys_to_read.emplace_back(key + "-beside", domain);
    }
  }
  ReadNext(operation);
}

void HourReader::Impl::ReadNext(
    const std::shared_ptr<ReadOperation>& operation) {
  if (operation->keys_to_read.empty()) {
    Finish(*operation);
    return;
  }
  const auto [key, domain] = operation->keys_to_read.back();
  operation->keys_to_read.pop_back();
  store_.Get(key, [self = shared_from_this(), operation, domain = domain](
                      platform::StoreStatus status,
                      const platform::StoreEntry& entry) {
    wire::HourSegment parsed;
    if (status == platform::StoreStatus::kOk &&
        parsed.ParseFromString(entry.value)) {
      operation->segments_by_domain[domain].Merge(parsed);
    } else if (status == platform::StoreStatus::kOk) {
      operation->damaged_domains.insert(domain);
    } else if (status != platform::StoreStatus::kNotFound) {
      operation->done(status, {});
      return;
    }
    self->ReadNext(operation);
  });
}

void HourReader::Impl::Finish(const ReadOperation& operation) const {
  std::vector<HourStatus> hours;
  for (int64_t hour = operation.first.value; hour <= operation.last.value;
       ++hour) {
    HourStatus& status = hours.emplace_back();
    status.hour = {hour};
    for (const auto& [domain, segment] : operation.segments_by_domain) {
      AddDomainCounts(segment, domain, operation.region, &status);
      if (operation.damaged_domains.contains(domain)) {
        status.reason += "a stored value of " + domain + " is damaged; ";
      }
    }
  }
  operation.done(platform::StoreStatus::kOk, hours);
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
