#ifndef SOAK_PROCESS_H_
#define SOAK_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

// A child process, ended with the object.
namespace comfreystand::soak {

class Process {
 public:
  // Runs `arguments`, the first of which is the program, with its output
  // appended to a file.
  Process(const std::vector<std::string>& arguments, const std::string& log);
  // Kills it if it still runs.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int number) const;
  // Its exit code, or minus the signal that ended it; nothing while it runs.
  std::optional<int> Ended();

 private:
  pid_t pid_ = -1;
  std::optional<int> ended_;
};

}  // namespace comfreystand::soak

#endif  // SOAK_PROCESS_H_
