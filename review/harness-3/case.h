// What the cases have in common.
#ifndef REVIEW_HARNESS_3_CASE_H_
#define REVIEW_HARNESS_3_CASE_H_

#include "standins.h"

namespace review {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

struct CaseSetup {
  Record* record = nullptr;
  // The program under test, and a temporary folder for its settings and logs.
  std::string program;
  std::string folder;
  // A loopback address that only this run uses.
  std::string host;
  bool trouble = true;
};

int RunPipelinedCase(const CaseSetup& setup);
int RunColdCase(const CaseSetup& setup);
int RunSilenceCase(const CaseSetup& setup);
int RunDescriptorsCase(const CaseSetup& setup);
int RunLateUploadCase(const CaseSetup& setup);
int RunSlowReaderCase(const CaseSetup& setup);
int RunSlowCallerCase(const CaseSetup& setup);

}  // namespace review

#endif  // REVIEW_HARNESS_3_CASE_H_
