#include <algorithm>
#include <cmath>
#include <limits>

#include "comfreystand/quota.h"
#include "src/quota/seconds.h"

namespace comfreystand::quota {
namespace {

// Parts of the 20 requests of slack: a deeper bucket and a slightly higher
// rate, so that random arrivals at exactly a small quota lose few requests.
constexpr double kExtraDepth = 8;
constexpr double kMaxExtraRate = 0.6;
constexpr double kExtraRateShare = 0.1;
// Upper bound of all standby rates of an organisation together.
constexpr double kStandbyShare = 0.6;
// An owner withholds a standby rate somewhat longer than it may be used, and
// from somewhat earlier on.
constexpr std::chrono::milliseconds kStandbyMargin{100};
// Longest time that an answer waits for tokens. With 30 ms on the way it still
// arrives within kMaxWait.
constexpr double kMaxHoldSeconds = 0.1;
// Interval at which pledges and standby rates are counted.
constexpr std::chrono::milliseconds kCountInterval{20};
// Messages with an older echo may be repetitions whose record is gone.
constexpr std::chrono::seconds kMaxEchoAge{5};
constexpr std::chrono::seconds kClientMemory{30};
constexpr double kMilli = 1'000;

template <typename Value>
Value Clamped(double value) {
  return static_cast<Value>(
      std::clamp(value, 0.0, double{std::numeric_limits<Value>::max()}));
}

}  // namespace

double QuotaOwner::Client::HeldStandby() const {
  return std::max(standby, standby_before);
}

bool QuotaOwner::Client::HasStandby(TimePoint now) const {
  return last_sent != TimePoint::min() &&
         now < last_sent + kStandbyLifetime + kStandbyMargin;
}

void QuotaOwner::SetLimits(const std::vector<Limit>& limits) {
  std::unordered_map<OrganisationKey, Bucket> kept;
  for (const Limit& limit : limits) {
    Bucket& bucket = kept[limit.organisation];
    const auto it = buckets_.find(limit.organisation);
    if (it != buckets_.end()) {
      bucket = std::move(it->second);
    }
    bucket.limit = limit;
    bucket.counted_at = TimePoint::min();
  }
  buckets_ = std::move(kept);
}

void QuotaOwner::SetFleet(size_t size, bool accepts) {
  fleet_size_ = std::max<size_t>(1, size);
  if (accepts_ && !accepts) {
    Reset();
  }
  accepts_ = accepts;
}

void QuotaOwner::Reset() {
  for (auto& [key, bucket] : buckets_) {
    bucket = Bucket{.limit = bucket.limit};
  }
}

void QuotaOwner::Count(Bucket* bucket, TimePoint now) const {
  const TimePoint since = std::max(bucket->counted_at, bucket->filled_at);
  double silent = 0;
  size_t pledges = 0;
  bucket->standby = 0;
  bucket->use = 0;
  for (auto it = bucket->clients.begin(); it != bucket->clients.end();) {
    const Client& client = it->second;
    if (!client.waits && client.last_asked + kClientMemory < now) {
      it = bucket->clients.erase(it);
      continue;
    }
    pledges += client.pledged_until > now ? 1 : 0;
    bucket->use += client.use;
    if (client.HasStandby(now)) {
      bucket->standby += client.HeldStandby();
    }
    const bool is_silent = client.echo == TimePoint::min() ||
                           now - client.echo > kStandbyAfter - kStandbyMargin;
    if (is_silent && client.HasStandby(since)) {
      silent += client.HeldStandby();
    }
    ++it;
  }
  const auto fleet = static_cast<double>(std::max(fleet_size_, pledges));
  bucket->share = static_cast<double>(pledges) / fleet;
  if (fenced_ && pledges < fleet_size_) {
    bucket->share = 0;
  }
  const double limit = bucket->limit.rate.value;
  bucket->rate = std::max(
      0.0, bucket->share *
                   (limit + std::min(kMaxExtraRate, limit * kExtraRateShare)) -
               silent);
  bucket->depth = bucket->share * (bucket->limit.burst + kExtraDepth);
  bucket->counted_at = now;
}

void QuotaOwner::Refill(Bucket* bucket, TimePoint now) const {
  const double rate_before = bucket->rate;
  if (bucket->counted_at == TimePoint::min() ||
      now - bucket->counted_at >= kCountInterval) {
    Count(bucket, now);
  }
  const double elapsed =
      bucket->filled_at == TimePoint{} ? 0 : Seconds(now - bucket->filled_at);
  bucket->content =
      std::min(bucket->depth,
               bucket->content + std::min(rate_before, bucket->rate) * elapsed);
  bucket->filled_at = now;
}

Answer QuotaOwner::Complete(Bucket* bucket,
                            Client* client,
                            uint64_t tokens,
                            double wait_s,
                            TimePoint now) {
  bucket->content -= static_cast<double>(tokens);
  client->unreturned += tokens;
  client->waits = false;
  client->wanted = 0;
  const double total = kStandbyShare * bucket->share * bucket->limit.rate.value;
  const double held = client->HasStandby(now) ? client->HeldStandby() : 0;
  const double part = bucket->use > 0 ? client->use / bucket->use : 0;
  const double room = std::max(0.0, total - (bucket->standby - held));
  // Rounded down to what the message holds.
  const double standby =
      std::floor(std::min(total * std::min(1.0, part), room) * kMilli) / kMilli;
  client->standby_before = held;
  client->standby = standby;
  bucket->standby += client->HeldStandby() - held;
  client->last_sent = now;
  client->last_answer = {
      .organisation = bucket->limit.organisation,
      .sequence = client->sequence,
      .tokens = static_cast<uint16_t>(tokens),
      .wait_ms = Clamped<uint16_t>(std::ceil(wait_s * kMilli)),
      .standby_milli = Clamped<uint32_t>(standby * kMilli),
  };
  return client->last_answer;
}

std::optional<Answer> QuotaOwner::OnAsk(const Asker& from,
                                        const Ask& ask,
                                        TimePoint now) {
  const auto it = buckets_.find(ask.organisation);
  if (!accepts_ || it == buckets_.end()) {
    return Answer{.organisation = ask.organisation,
                  .sequence = ask.sequence,
                  .declines = true};
  }
  if (ask.sequence == 0) {
    // Asks only whether this node is ready.
    return Answer{.organisation = ask.organisation};
  }
  Bucket& bucket = it->second;
  Client& client = bucket.clients[from.node];
  if (from.incarnation < client.incarnation) {
    return std::nullopt;
  }
  if (from.incarnation > client.incarnation) {
    // Standby rates and pledges of the earlier process are dropped by it.
    std::erase(bucket.waiting, from.node);
    client = Client{.incarnation = from.incarnation};
  }
  if (client.sequence != 0 && ask.sequence < client.sequence) {
    return std::nullopt;
  }
  if (from.echo && *from.echo > client.echo) {
    client.echo = *from.echo;
  }
  client.last_asked = now;
  if (ask.pledges && from.echo) {
    client.pledged_until =
        std::max(client.pledged_until, *from.echo + kPledgeLifetime);
  } else if (!ask.pledges) {
    client.pledged_until = TimePoint::min();
  }
  Refill(&bucket, now);
  if (ask.sequence == client.sequence) {
    if (client.waits) {
      return std::nullopt;
    }
    client.last_sent = now;
    return client.last_answer;
  }
  if (ask.has_previous && ask.sequence == client.sequence + 1) {
    client.standby_before = client.standby;
  }
  client.sequence = ask.sequence;
  client.use = ask.use_milli / kMilli;
  const bool is_recent = from.echo && now - *from.echo < kMaxEchoAge;
  if (is_recent) {
    const uint64_t credit = std::min<uint64_t>(ask.returned, client.unreturned);
    client.unreturned -= credit;
    bucket.content =
        std::min(bucket.depth, bucket.content + static_cast<double>(credit));
  }
  client.wanted = ask.wanted;
  if (ask.wanted == 0) {
    std::erase(bucket.waiting, from.node);
    return Complete(&bucket, &client, 0, 0, now);
  }
  if (client.waits) {
    // Keeps its place in the order of arrival.
    return std::nullopt;
  }
  const auto ahead = static_cast<double>(bucket.waiting.size());
  if (ahead == 0 && bucket.content >= 1) {
    const auto available = static_cast<uint64_t>(bucket.content);
    return Complete(&bucket, &client, std::min<uint64_t>(ask.wanted, available),
                    0, now);
  }
  constexpr double kLongestWait = 5;
  const double wait =
      bucket.rate > 0
          ? std::min(kLongestWait, (ahead + 1 - bucket.content) / bucket.rate)
          : 1.0;
  if (wait > kMaxHoldSeconds) {
    return Complete(&bucket, &client, 0, wait, now);
  }
  client.waits = true;
  bucket.waiting.push_back(from.node);
  return std::nullopt;
}

std::vector<QuotaOwner::Reply> QuotaOwner::Advance(TimePoint now) {
  std::vector<Reply> replies;
  for (auto& [key, bucket] : buckets_) {
    if (bucket.waiting.empty()) {
      continue;
    }
    Refill(&bucket, now);
    while (!bucket.waiting.empty() && bucket.content >= 1) {
      const NodeHash node = bucket.waiting.front();
      Client& client = bucket.clients[node];
      const auto each = static_cast<uint64_t>(std::max(
          1.0, bucket.content / static_cast<double>(bucket.waiting.size())));
      bucket.waiting.pop_front();
      replies.push_back(
          {node, Complete(&bucket, &client,
                          std::min<uint64_t>(client.wanted, each), 0, now)});
    }
    if (!bucket.waiting.empty() && bucket.rate <= 0) {
      // The pledges have ended; the clients find another owner.
      for (const NodeHash node : bucket.waiting) {
        replies.push_back(
            {node, Complete(&bucket, &bucket.clients[node], 0, 1, now)});
      }
      bucket.waiting.clear();
    }
  }
  return replies;
}

TimePoint QuotaOwner::NextAt() const {
  constexpr Duration kMinInterval{1'000};
  constexpr Duration kMaxInterval{20'000};
  TimePoint next = TimePoint::max();
  for (const auto& [key, bucket] : buckets_) {
    if (!bucket.waiting.empty()) {
      const double seconds =
          bucket.rate > 0 ? (1 - bucket.content) / bucket.rate : 1;
      const auto wait =
          Duration(static_cast<int64_t>(std::clamp(seconds, 0.0, 1.0) * 1e6));
      next = std::min(next, bucket.filled_at +
                                std::clamp(wait, kMinInterval, kMaxInterval));
    }
  }
  return next;
}

Fraction QuotaOwner::ShareOf(OrganisationKey organisation) const {
  const auto it = buckets_.find(organisation);
  return {it == buckets_.end() ? 0 : it->second.share};
}

}  // namespace comfreystand::quota
