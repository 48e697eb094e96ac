#include "soak/process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

namespace comfreystand::soak {

Process::Process(const std::vector<std::string>& arguments,
                 const std::string& log) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr int kMode = 0644;
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kMode);
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
    constexpr int kNotFound = 127;
    ended_ = kNotFound;
  }
}

Process::~Process() {
  if (!Ended()) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

void Process::Signal(int number) const {
  if (!ended_) {
    kill(pid_, number);
  }
}

std::optional<int> Process::Ended() {
  int status = 0;
  if (!ended_ && waitpid(pid_, &status, WNOHANG) == pid_) {
    ended_ = WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
  }
  return ended_;
}

}  // namespace comfreystand::soak
