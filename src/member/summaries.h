#ifndef COMFREYSTAND_SRC_MEMBER_SUMMARIES_H_
#define COMFREYSTAND_SRC_MEMBER_SUMMARIES_H_

#include <map>
#include <vector>

#include "comfreystand/member.h"

namespace comfreystand::member {

// The newest known summary of every failure domain.
class Summaries {
 public:
  struct Summary {
    uint64_t sequence = 0;
    // Sequence numbers of the latest changes of members and loads.
    uint64_t members_sequence = 0;
    uint64_t loads_sequence = 0;
    TimePoint updated_at{};
    std::vector<MemberInfo> members;
    std::vector<SiteLoad> loads;
  };

  explicit Summaries(NameKey own) : own_(own) {}

  // Updates the own failure domain's summary; called on its top-ranked member.
  // The new sequence is above `min_sequence` and every known sequence.
  void Publish(const std::vector<MemberInfo>& members,
               bool with_loads,
               uint64_t min_sequence,
               TimePoint now);

  // Adds the sequence numbers (marks) of all summaries to the message.
  void FillMarks(wire::MemberMessage* message) const;
  // Adds the summaries that are newer than `marks` to the reply.
  void FillNewer(const wire::MemberMessage& marks,
                 wire::MemberMessage* reply) const;
  // Records the highest sequence of the own failure domain in the marks.
  void RecordOwnSequence(const wire::MemberMessage& marks);
  // Stores the summaries of a message that are newer than the known ones.
  void Merge(const wire::MemberMessage& message, TimePoint now);
  // Shifts all timestamps after a pause or a jump of the clock.
  void ShiftTimestamps(Duration by);

  const std::map<NameKey, Summary>& All() const { return summaries_; }
  // Age of the oldest summary of another failure domain; zero without any.
  Duration OldestAge(TimePoint now) const;

 private:
  void MergeSummary(const wire::DomainSummary& from, TimePoint now);

  NameKey own_;
  std::map<NameKey, Summary> summaries_;
  // Highest sequence of the own failure domain in other nodes' marks.
  uint64_t min_own_sequence_ = 0;
};

}  // namespace comfreystand::member

#endif  // COMFREYSTAND_SRC_MEMBER_SUMMARIES_H_
