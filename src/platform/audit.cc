#include "src/platform/audit.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "comfreystand/acceptance.h"
#include "comfreystand/limits.h"

namespace comfreystand::platform {
namespace {

using nlohmann::json;

// Maximum number of changes recorded as confirmed.
constexpr size_t kMaxConfirmedChanges = 4'096;

uint64_t SegmentOf(RuleVersion version) {
  return version.value / limits::kAuditEntriesPerSegment;
}

json ToJson(const AuditEntry& entry) {
  return json{{"version", entry.version.value},
              {"from", entry.from_version.value},
              {"id", entry.change_id},
              {"proposed_by", entry.proposed_by},
              {"requested_by", entry.requested_by},
              {"when", entry.when.value},
              {"diff", entry.diff}};
}

AuditEntry FromJson(const json& value) {
  AuditEntry entry;
  entry.version = {value.value("version", uint64_t{0})};
  entry.from_version = {value.value("from", uint64_t{0})};
  entry.change_id = value.value("id", std::string());
  entry.proposed_by = value.value("proposed_by", std::string());
  entry.requested_by = value.value("requested_by", std::string());
  entry.when = {value.value("when", int64_t{0})};
  entry.diff = value.value("diff", std::string());
  return entry;
}

bool IsSameEntry(const AuditEntry& a, const AuditEntry& b) {
  return a.version == b.version && a.change_id == b.change_id;
}

void MergeEntry(std::vector<AuditEntry>* merged, const AuditEntry& entry) {
  const auto is_same = [&](const AuditEntry& other) {
    return IsSameEntry(other, entry);
  };
  if (std::none_of(merged->begin(), merged->end(), is_same)) {
    merged->push_back(entry);
  }
}

void SortByVersion(std::vector<AuditEntry>* entries) {
  std::stable_sort(entries->begin(), entries->end(),
                   [](const AuditEntry& a, const AuditEntry& b) {
                     return a.version < b.version;
                   });
}

}  // namespace

bool HasChange(const std::vector<AuditEntry>& entries,
               const std::string& change_id,
               RuleVersion* version) {
  for (const AuditEntry& entry : entries) {
    if (entry.change_id == change_id) {
      *version = entry.version;
      return true;
    }
  }
  return false;
}

std::string EncodeAuditSegment(const std::vector<AuditEntry>& entries) {
  json list = json::array();
  for (const AuditEntry& entry : entries) {
    list.push_back(ToJson(entry));
  }
  return list.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool DecodeAuditSegment(std::string_view bytes,
                        std::vector<AuditEntry>* entries) {
  const json list = json::parse(bytes, nullptr, false);
  if (!list.is_array()) {
    return false;
  }
  try {
    for (const json& value : list) {
      entries->push_back(FromJson(value));
    }
  } catch (const json::exception&) {
    return false;
  }
  return true;
}

void AuditTrail::MarkConfirmed(const AuditEntry& entry) {
  if (confirmed_changes_.size() >= kMaxConfirmedChanges) {
    confirmed_changes_.clear();
  }
  confirmed_changes_.insert(entry.change_id);
}

std::string AuditTrail::SegmentKey(uint64_t segment) const {
  char number[32];
  std::snprintf(number, sizeof number, "%012llu",
                static_cast<unsigned long long>(segment));
  return prefix_ + number;
}

void AuditTrail::Append(std::vector<AuditEntry> entries, AppendCallback done) {
  std::erase_if(entries,
                [this](const AuditEntry& entry) { return IsConfirmed(entry); });
  if (entries.empty()) {
    done(StoreStatus::kOk);
    return;
  }
  SortByVersion(&entries);
  const uint64_t segment = SegmentOf(entries.front().version);
  const auto split = std::find_if(entries.begin(), entries.end(),
                                  [&](const AuditEntry& entry) {
                                    return SegmentOf(entry.version) != segment;
                                  });
  std::vector<AuditEntry> rest(split, entries.end());
  entries.erase(split, entries.end());
  AppendSegment(segment, std::move(entries),
                [self = shared_from_this(), rest = std::move(rest),
                 done = std::move(done)](StoreStatus status) mutable {
                  if (status != StoreStatus::kOk) {
                    done(status);
                    return;
                  }
                  self->Append(std::move(rest), std::move(done));
                });
}

void AuditTrail::AppendSegment(uint64_t segment,
                               std::vector<AuditEntry> entries,
                               AppendCallback done) {
  const std::string key = SegmentKey(segment);
  store_.Get(key, [self = shared_from_this(), key, entries = std::move(entries),
                   done = std::move(done)](StoreStatus status,
                                           const StoreEntry& entry) mutable {
    if (status != StoreStatus::kOk && status != StoreStatus::kNotFound) {
      done(status);
      return;
    }
    self->WriteSegment(key, entry, std::move(entries), std::move(done));
  });
}

void AuditTrail::WriteSegment(const std::string& key,
                              const StoreEntry& entry,
                              std::vector<AuditEntry> entries,
                              AppendCallback done) {
  std::vector<AuditEntry> merged;
  // A segment that can't be decoded is not overwritten; new entries get keys of
  // their own.
  const bool readable =
      entry.value.empty() || DecodeAuditSegment(entry.value, &merged);
  const size_t before = merged.size();
  for (const AuditEntry& added : entries) {
    MergeEntry(&merged, added);
  }
  SortByVersion(&merged);
  const std::string value = EncodeAuditSegment(merged);
  if (!readable || value.size() > limits::kMaxAuditSegmentBytes) {
    const AuditEntry first = entries.front();
    entries.erase(entries.begin());
    WriteSingleEntry(first,
                     [self = shared_from_this(), entries = std::move(entries),
                      done = std::move(done)](StoreStatus status) mutable {
                       if (status != StoreStatus::kOk) {
                         done(status);
                         return;
                       }
                       self->Append(std::move(entries), std::move(done));
                     });
    return;
  }
  const auto finish = [self = shared_from_this(), entries, done] {
    for (const AuditEntry& written : entries) {
      self->MarkConfirmed(written);
    }
    done(StoreStatus::kOk);
  };
  if (merged.size() == before) {
    finish();
    return;
  }
  ++writes_;
  store_.CompareAndSwap(key, entry.revision, value, limits::kAuditRetention,
                        [self = shared_from_this(), finish, entries, done](
                            StoreStatus status, Revision) {
                          if (status == StoreStatus::kOk) {
                            finish();
                          } else if (status == StoreStatus::kConflict) {
                            self->Append(entries, done);
                          } else {
                            done(status);
                          }
                        });
}

void AuditTrail::WriteSingleEntry(const AuditEntry& entry,
                                  AppendCallback done) {
  const std::string key = SegmentKey(SegmentOf(entry.version)) + "-" +
                          std::to_string(entry.version.value);
  ++writes_;
  store_.CompareAndSwap(
      key, Revision{}, EncodeAuditSegment({entry}), limits::kAuditRetention,
      [self = shared_from_this(), entry, done = std::move(done)](
          StoreStatus status, Revision) {
        // A conflict means that an earlier attempt wrote it.
        if (status == StoreStatus::kOk || status == StoreStatus::kConflict) {
          self->MarkConfirmed(entry);
          done(StoreStatus::kOk);
        } else {
          done(status);
        }
      });
}

// State of one Read().
struct AuditTrail::ReadState {
  std::vector<std::string> keys;
  // Index of the next key to read.
  size_t next = 0;
  std::vector<AuditEntry> entries;
  RuleVersion first;
  RuleVersion last;
  EntriesCallback done;
};

void AuditTrail::Read(RuleVersion first,
                      RuleVersion last,
                      EntriesCallback done) {
  auto state = std::make_shared<ReadState>();
  state->first = first;
  state->last = last;
  state->done = std::move(done);
  store_.List(prefix_, [self = shared_from_this(), state](
                           StoreStatus status,
                           const std::vector<std::string>& keys) {
    if (status != StoreStatus::kOk) {
      state->done(status, {});
      return;
    }
    const std::string first_key = self->SegmentKey(SegmentOf(state->first));
    const std::string end_key = self->SegmentKey(SegmentOf(state->last) + 1);
    for (const std::string& key : keys) {
      if (key >= first_key && key < end_key) {
        state->keys.push_back(key);
      }
    }
    self->ReadNext(state);
  });
}

void AuditTrail::ReadNext(const std::shared_ptr<ReadState>& state) {
  if (state->next == state->keys.size()) {
    std::erase_if(state->entries, [&](const AuditEntry& entry) {
      return entry.version < state->first || entry.version > state->last;
    });
    SortByVersion(&state->entries);
    state->done(StoreStatus::kOk, state->entries);
    return;
  }
  store_.Get(state->keys[state->next++],
             [self = shared_from_this(), state](StoreStatus status,
                                                const StoreEntry& entry) {
               if (status == StoreStatus::kOk) {
                 DecodeAuditSegment(entry.value, &state->entries);
               } else if (status != StoreStatus::kNotFound) {
                 state->done(status, {});
                 return;
               }
               self->ReadNext(state);
             });
}

}  // namespace comfreystand::platform
