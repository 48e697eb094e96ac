#include "src/member/summaries.h"

#include <algorithm>
#include <cmath>

namespace comfreystand::member {
namespace {

// Loads are published in steps, so that small changes are not gossiped.
constexpr int kLoadStepPercent = 5;

// The sequence numbers of a wire::DomainMark, which has the last two as
// differences to `sequence`.
struct MarkValues {
  uint64_t sequence = 0;
  uint64_t members_sequence = 0;
  uint64_t loads_sequence = 0;
};

MarkValues FromWire(const wire::DomainMark& mark) {
  const uint64_t sequence = mark.sequence();
  return {sequence, sequence - std::min(sequence, mark.members_back()),
          sequence - std::min(sequence, mark.loads_back())};
}

void ToWire(NameKey domain,
            const Summaries::Summary& summary,
            wire::DomainMark* mark) {
  mark->set_domain(domain.value);
  mark->set_sequence(summary.sequence);
  mark->set_members_back(summary.sequence - summary.members_sequence);
  mark->set_loads_back(summary.sequence - summary.loads_sequence);
}

bool SameMembers(const std::vector<MemberInfo>& a,
                 const std::vector<MemberInfo>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const MemberInfo& x, const MemberInfo& y) {
                      return x.node == y.node &&
                             x.incarnation == y.incarnation &&
                             x.state == y.state && x.address == y.address &&
                             x.site == y.site;
                    });
}

bool SameLoads(const std::vector<SiteLoad>& a, const std::vector<SiteLoad>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const SiteLoad& x, const SiteLoad& y) {
                      return x.site == y.site && x.load == y.load;
                    });
}

// Mean load of each site's members, rounded to kLoadStepPercent.
std::vector<SiteLoad> MeanSiteLoads(const std::vector<MemberInfo>& members) {
  std::map<NameKey, std::pair<double, int>> sums;
  for (const MemberInfo& member : members) {
    auto& [load, count] = sums[member.site];
    load += member.load.value;
    ++count;
  }
  std::vector<SiteLoad> loads;
  for (const auto& [site, sum] : sums) {
    const double percent = 100 * sum.first / sum.second;
    const double steps = std::round(percent / kLoadStepPercent);
    loads.push_back({site, {steps * kLoadStepPercent / 100}});
  }
  return loads;
}

}  // namespace

void Summaries::Publish(const std::vector<MemberInfo>& members,
                        bool with_loads,
                        uint64_t min_sequence,
                        TimePoint now) {
  Summary& own = summaries_[own_];
  own.sequence = std::max({own.sequence, min_own_sequence_, min_sequence}) + 1;
  own.updated_at = now;
  if (own.members_sequence == 0 || !SameMembers(own.members, members)) {
    own.members = members;
    own.members_sequence = own.sequence;
  }
  if (own.loads_sequence == 0 || with_loads) {
    std::vector<SiteLoad> loads = MeanSiteLoads(members);
    if (own.loads_sequence == 0 || !SameLoads(own.loads, loads)) {
      own.loads = std::move(loads);
      own.loads_sequence = own.sequence;
    }
  }
}

void Summaries::FillMarks(wire::MemberMessage* message) const {
  message->set_has_marks(true);
  for (const auto& [domain, summary] : summaries_) {
    ToWire(domain, summary, message->add_marks());
  }
}

void Summaries::FillNewer(const wire::MemberMessage& marks,
                          wire::MemberMessage* reply) const {
  std::map<NameKey, MarkValues> known;
  for (const wire::DomainMark& mark : marks.marks()) {
    known[NameKey{mark.domain()}] = FromWire(mark);
  }
  for (const auto& [domain, summary] : summaries_) {
    const MarkValues known_mark = known[domain];
    if (summary.sequence <= known_mark.sequence) {
      continue;
    }
    wire::DomainSummary* newer = reply->add_summaries();
    ToWire(domain, summary, newer->mutable_mark());
    if (summary.members_sequence > known_mark.members_sequence) {
      newer->set_has_members(true);
      for (const MemberInfo& member : summary.members) {
        wire::SummaryMember* added = newer->add_members();
        added->set_node(member.node.value);
        added->set_incarnation(member.incarnation.value);
        added->set_address(member.address);
        added->set_site(member.site.value);
        added->set_leaving(member.state == MemberState::kLeaving);
      }
    }
    if (summary.loads_sequence > known_mark.loads_sequence) {
      newer->set_has_loads(true);
      for (const SiteLoad& load : summary.loads) {
        wire::SiteLoad* added = newer->add_loads();
        added->set_site(load.site.value);
        added->set_load_percent(
            static_cast<uint32_t>(std::lround(load.load.value * 100)));
      }
    }
  }
}

void Summaries::RecordOwnSequence(const wire::MemberMessage& marks) {
  for (const wire::DomainMark& mark : marks.marks()) {
    if (mark.domain() == own_.value) {
      min_own_sequence_ = std::max(min_own_sequence_, mark.sequence());
    }
  }
}

void Summaries::Merge(const wire::MemberMessage& message, TimePoint now) {
  for (const wire::DomainSummary& from : message.summaries()) {
    MergeSummary(from, now);
  }
}

void Summaries::MergeSummary(const wire::DomainSummary& from, TimePoint now) {
  const NameKey domain{from.mark().domain()};
  if (!summaries_.contains(domain) &&
      summaries_.size() >= limits::kMaxDomains) {
    return;
  }
  Summary& summary = summaries_[domain];
  const MarkValues mark = FromWire(from.mark());
  const bool members_known =
      from.has_members() || mark.members_sequence <= summary.members_sequence;
  const bool loads_known =
      from.has_loads() || mark.loads_sequence <= summary.loads_sequence;
  if (mark.sequence <= summary.sequence || !members_known || !loads_known) {
    return;
  }
  summary.sequence = mark.sequence;
  summary.updated_at = now;
  if (from.has_members() && mark.members_sequence > summary.members_sequence) {
    summary.members_sequence = mark.members_sequence;
    summary.members.clear();
    for (const wire::SummaryMember& member : from.members()) {
      if (summary.members.size() >= limits::kMaxDomainMembers) {
        break;
      }
      MemberInfo& info = summary.members.emplace_back();
      info.node = NodeId(member.node());
      info.incarnation = {member.incarnation()};
      info.address = member.address();
      info.site = NameKey{member.site()};
      info.state =
          member.leaving() ? MemberState::kLeaving : MemberState::kAlive;
    }
  }
  if (from.has_loads() && mark.loads_sequence > summary.loads_sequence) {
    summary.loads_sequence = mark.loads_sequence;
    summary.loads.clear();
    for (const wire::SiteLoad& load : from.loads()) {
      if (summary.loads.size() >= limits::kMaxSiteLoads) {
        break;
      }
      summary.loads.push_back({{load.site()}, {load.load_percent() / 100.0}});
    }
  }
}

void Summaries::ShiftTimestamps(Duration by) {
  for (auto& [domain, summary] : summaries_) {
    summary.updated_at += by;
  }
}

Duration Summaries::OldestAge(TimePoint now) const {
  Duration oldest{0};
  for (const auto& [domain, summary] : summaries_) {
    if (domain != own_) {
      oldest = std::max(oldest, now - summary.updated_at);
    }
  }
  return oldest;
}

}  // namespace comfreystand::member
