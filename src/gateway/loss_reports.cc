#include "src/gateway/loss_reports.h"

#include <algorithm>

#include "src/gateway/node_socket.h"

namespace comfreystand::gateway {
namespace {

// Losses within this time leave in one datagram.
constexpr std::chrono::milliseconds kCoalesceTime{2};
// Time between two reports of the same backend server.
constexpr std::chrono::milliseconds kRepeatTime{100};
// Reports of other nodes, within kRepeatTime, that make an own one needless. A
// single one may be lost.
constexpr size_t kEnoughReports = 3;
// Records beyond this number are checked for old ones.
constexpr size_t kMaxRecords = 4'096;

constexpr size_t kHashBytes = sizeof(uint64_t);
// Kind and sender.
constexpr size_t kHeaderBytes = 1 + kHashBytes;
constexpr size_t kMaxBackends =
    (NodeSocket::kMaxDatagramBytes - kHeaderBytes) / kHashBytes;
constexpr int kBitsPerByte = 8;

// Integers are little-endian.
void PutHash(std::string* out, uint64_t hash) {
  for (size_t i = 0; i < kHashBytes; ++i) {
    out->push_back(static_cast<char>(hash >> (kBitsPerByte * i)));
  }
}

uint64_t HashAt(std::string_view bytes, size_t offset) {
  uint64_t hash = 0;
  for (size_t i = 0; i < kHashBytes; ++i) {
    hash |= static_cast<uint64_t>(static_cast<uint8_t>(bytes[offset + i]))
            << (kBitsPerByte * i);
  }
  return hash;
}

}  // namespace

std::vector<std::string> EncodeLossReport(const LossReport& report) {
  std::vector<std::string> datagrams;
  for (size_t first = 0; first < report.backends.size();
       first += kMaxBackends) {
    std::string bytes(1, static_cast<char>(NodeSocket::Kind::kLossReport));
    PutHash(&bytes, report.sender);
    const size_t end = std::min(first + kMaxBackends, report.backends.size());
    for (size_t i = first; i < end; ++i) {
      PutHash(&bytes, report.backends[i]);
    }
    datagrams.push_back(std::move(bytes));
  }
  return datagrams;
}

std::optional<LossReport> DecodeLossReport(std::string_view bytes) {
  const bool has_hashes = bytes.size() > kHeaderBytes &&
                          bytes.size() <= NodeSocket::kMaxDatagramBytes &&
                          (bytes.size() - kHeaderBytes) % kHashBytes == 0;
  if (!has_hashes ||
      bytes[0] != static_cast<char>(NodeSocket::Kind::kLossReport)) {
    return std::nullopt;
  }
  LossReport report{.sender = HashAt(bytes, 1), .backends = {}};
  for (size_t at = kHeaderBytes; at < bytes.size(); at += kHashBytes) {
    report.backends.push_back(HashAt(bytes, at));
  }
  return report;
}

void LossReports::OnLost(BackendKey backend, TimePoint now) {
  DropOld(now);
  Record& record = records_[backend];
  const bool enough_reports = record.others.size() >= kEnoughReports &&
                              now < record.others_at + kRepeatTime;
  if (enough_reports || record.due_at > now) {
    return;
  }
  record.due_at = std::max(now + kCoalesceTime, record.due_at + kRepeatTime);
  pending_.push_back({backend, record.due_at});
}

void LossReports::OnReported(BackendKey backend, uint64_t node, TimePoint now) {
  DropOld(now);
  Record& record = records_[backend];
  if (now >= record.others_at + kRepeatTime) {
    record.others.clear();
    record.others_at = now;
  }
  record.others.insert(node);
}

std::vector<BackendKey> LossReports::TakeDue(TimePoint now) {
  std::vector<BackendKey> due;
  std::erase_if(pending_, [&](const Pending& pending) {
    const bool is_due = pending.due_at <= now;
    if (is_due) {
      due.push_back(pending.backend);
    }
    return is_due;
  });
  return due;
}

TimePoint LossReports::NextAt() const {
  TimePoint next = TimePoint::max();
  for (const Pending& pending : pending_) {
    next = std::min(next, pending.due_at);
  }
  return next;
}

void LossReports::DropOld(TimePoint now) {
  if (records_.size() < kMaxRecords) {
    return;
  }
  std::erase_if(records_, [now](const auto& item) {
    const Record& record = item.second;
    return now >= std::max(record.due_at, record.others_at) + kRepeatTime;
  });
}

}  // namespace comfreystand::gateway
