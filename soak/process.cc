#include "soak/process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

namespace comfreystand::soak {

Process::Process(const std::vector<std::string>& arguments,
                 const std::string& log_file) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr int kLogFileMode = 0644;
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogFileMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::vector<char*> argv;
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  const int error =
      posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    constexpr int kSpawnFailed = 127;
    exit_code_ = kSpawnFailed;
  }
}

Process::~Process() {
  if (!ExitCode()) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

void Process::SendSignal(int signal_number) const {
  if (!exit_code_) {
    kill(pid_, signal_number);
  }
}

std::optional<int> Process::ExitCode() {
  int status = 0;
  if (!exit_code_ && waitpid(pid_, &status, WNOHANG) == pid_) {
    exit_code_ = WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
  }
  return exit_code_;
}

}  // namespace comfreystand::soak
