#ifndef SOAK_PROCESS_H_
#define SOAK_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

// A child process that is killed when the object is destroyed.
namespace comfreystand::soak {

class Process {
 public:
  // Starts a process. The first of `arguments` is the path of the program; its
  // output is appended to `log_file`. On failure the exit code is 127.
  Process(const std::vector<std::string>& arguments,
          const std::string& log_file);
  // Kills the process if it is still running.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void SendSignal(int signal_number) const;
  pid_t pid() const { return pid_; }
  // Exit code, or the negated signal number if a signal terminated the process;
  // nullopt while it is running.
  std::optional<int> ExitCode();

 private:
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
};

}  // namespace comfreystand::soak

#endif  // SOAK_PROCESS_H_
