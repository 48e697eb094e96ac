// case-runner NAME PROGRAM RECORD: runs one case against PROGRAM and writes
// what happened to the file RECORD. Exits with 1 if a rule was broken, 0 if it
// held, and 2 if the case could not run.
#include <cstdio>
#include <filesystem>
#include <iostream>

#include "case.h"

int main(int argc, char** argv) {
  using review::CaseSetup;
  static const std::map<std::string, int (*)(const CaseSetup&)> kCases = {
      {"cold", &review::RunColdCase},
      {"pipelined", &review::RunPipelinedCase},
      {"silence", &review::RunSilenceCase},
      {"descriptors", &review::RunDescriptorsCase},
      {"late-upload", &review::RunLateUploadCase},
      {"slow-reader", &review::RunSlowReaderCase},
      {"slow-caller", &review::RunSlowCallerCase}};
  if (argc != 4 || !kCases.contains(argv[1])) {
    std::cerr << "usage: case-runner NAME PROGRAM RECORD\n";
    return review::kCouldNotRun;
  }
  signal(SIGPIPE, SIG_IGN);
  char folder[] = "/tmp/review-3-XXXXXX";
  if (!mkdtemp(folder)) {
    return review::kCouldNotRun;
  }
  review::Record record(argv[3]);
  const char* trouble = std::getenv("TROUBLE");
  const int pid = static_cast<int>(getpid());
  const CaseSetup setup = {.record = &record,
                           .program = argv[2],
                           .folder = folder,
                           .host = "127." +
                                   std::to_string(1 + pid / 62'500 % 250) +
                                   "." + std::to_string(1 + pid / 250 % 250) +
                                   "." + std::to_string(1 + pid % 250),
                           .trouble = !trouble || std::string(trouble) != "0"};
  const int result = kCases.at(argv[1])(setup);
  record.Add(result == review::kBroken ? "result: the rule was broken"
             : result == review::kHeld ? "result: the rule held"
                                       : "result: the case could not run");
  if (!std::getenv("KEEP")) {
    std::filesystem::remove_all(folder);
  } else {
    std::cerr << folder << '\n';
  }
  // The stand-ins' threads end with the process.
  std::fflush(nullptr);
  _exit(result);
}
