#include "src/member/leaving_set.h"

#include <algorithm>

namespace comfreystand::member {
namespace {

uint64_t KeyOf(std::string_view name, std::string_view address) {
  return StableHash(address, StableHash(name));
}

}  // namespace

LeavingBackend FromWire(const wire::LeaveRecord& record) {
  constexpr uint32_t kLastSource =
      static_cast<uint32_t>(LeaveSource::kOperator);
  LeavingBackend backend;
  backend.name = record.name();
  backend.address = record.address();
  backend.source =
      static_cast<LeaveSource>(std::min(record.source(), kLastSource));
  backend.since = {record.since()};
  return backend;
}

bool LeavingSet::Add(const LeavingBackend& backend, TimePoint now) {
  if (entries_.size() >= limits::kMaxLeavingBackends) {
    return false;
  }
  const uint64_t key = KeyOf(backend.name, backend.address);
  if (!entries_.try_emplace(key, Entry{backend, now}).second) {
    return false;
  }
  digest_ ^= key;
  return true;
}

bool LeavingSet::Contains(std::string_view name,
                          std::string_view address) const {
  return entries_.contains(KeyOf(name, address));
}

void LeavingSet::Expire(WallSeconds now) {
  const auto retention = std::chrono::duration_cast<std::chrono::seconds>(
                             limits::kLeavingRetention)
                             .count();
  std::erase_if(entries_, [&](const auto& item) {
    const bool expired =
        item.second.backend.since.value + retention < now.value;
    digest_ ^= expired ? item.first : 0;
    return expired;
  });
}

void LeavingSet::Fill(wire::MemberMessage* message, TimePoint after) const {
  for (const auto& [key, entry] : entries_) {
    if (entry.added_at < after) {
      continue;
    }
    wire::LeaveRecord* record = message->add_leaving();
    record->set_name(entry.backend.name);
    record->set_address(entry.backend.address);
    record->set_source(static_cast<uint32_t>(entry.backend.source));
    record->set_since(entry.backend.since.value);
  }
}

std::vector<LeavingBackend> LeavingSet::All() const {
  std::vector<LeavingBackend> all;
  all.reserve(entries_.size());
  for (const auto& [key, entry] : entries_) {
    all.push_back(entry.backend);
  }
  return all;
}

}  // namespace comfreystand::member
