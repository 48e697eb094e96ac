#ifndef COMFREYSTAND_SRC_MEMBER_SUMMARIES_H_
#define COMFREYSTAND_SRC_MEMBER_SUMMARIES_H_

#include <map>
#include <vector>

#include "comfreystand/member.h"

namespace comfreystand::member {

// The newest summary of every failure domain that this node has heard of.
class Summaries {
 public:
  struct Summary {
    uint64_t sequence = 0;
    uint64_t members_sequence = 0;
    uint64_t loads_sequence = 0;
    TimePoint last_heard{};
    std::vector<MemberInfo> members;
    std::vector<SiteLoad> loads;
  };

  explicit Summaries(NameKey own) : own_(own) {}

  // Writes the own failure domain's summary, as its top-ranked member does.
  // Sequences go on from the highest one known, at least from `floor`.
  void Publish(const std::vector<MemberInfo>& members,
               bool with_loads,
               uint64_t floor,
               TimePoint now);

  // Adds the marks of all summaries.
  void FillMarks(wire::MemberMessage* message) const;
  // Adds what the sender of `marks` lacks.
  void FillNewer(const wire::MemberMessage& marks,
                 wire::MemberMessage* reply) const;
  // Notes marks that show a later sequence of the own failure domain.
  void NoteMarks(const wire::MemberMessage& marks);
  void Merge(const wire::MemberMessage& message, TimePoint now);
  void Shift(Duration by);

  const std::map<NameKey, Summary>& All() const { return summaries_; }
  // Time since any other failure domain was heard; zero when there is none.
  Duration OldestAge(TimePoint now) const;

 private:
  void MergeOne(const wire::DomainSummary& from, TimePoint now);

  NameKey own_;
  std::map<NameKey, Summary> summaries_;
  // Highest sequence of the own failure domain seen in other nodes' marks.
  uint64_t own_floor_ = 0;
};

}  // namespace comfreystand::member

#endif  // COMFREYSTAND_SRC_MEMBER_SUMMARIES_H_
