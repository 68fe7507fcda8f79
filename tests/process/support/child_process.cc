// Starting and ending of child processes.
#include "tests/process/support/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <thread>
#include <utility>

namespace papayakeel {

namespace {

// The daemon's highest exit status; sanitizers use others.
constexpr int kMaxExitStatus = 2;

std::vector<std::string> unrequested_ends;

std::string Join(const std::vector<std::string>& words) {
  std::string joined;
  for (const std::string& word : words)
    joined += (joined.empty() ? "" : " ") + word;
  return joined;
}

}  // namespace

child_process::child_process(const std::vector<std::string>& arguments,
                             const std::string& log_path)
    : command_(Join(arguments)) {
  std::vector<char*> raw;
  raw.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments)
    raw.push_back(const_cast<char*>(argument.c_str()));
  raw.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn(&id_, raw[0], &actions, nullptr, raw.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
}

child_process::~child_process() {
  Kill();
}

void child_process::Signal(int signal_number) {
  if (has_ended_ || id_ <= 0)
    return;
  sent_signals_.insert(signal_number);
  kill(id_, signal_number);
}

std::optional<int> child_process::Wait(std::chrono::milliseconds limit) {
  const std::chrono::steady_clock::time_point end =
      std::chrono::steady_clock::now() + limit;
  while (!has_ended_) {
    int raw_status = 0;
    if (waitpid(id_, &raw_status, WNOHANG) == id_) {
      has_ended_ = true;
      status_ = WIFEXITED(raw_status) ? WEXITSTATUS(raw_status)
                                      : 128 + WTERMSIG(raw_status);
      if (!IsRequestedEnd(raw_status)) {
        unrequested_ends.push_back("ended unasked with status " +
                                   std::to_string(status_) + ": " + command_);
      }
      break;
    }
    if (std::chrono::steady_clock::now() >= end)
      return std::nullopt;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return status_;
}

void child_process::Kill() {
  if (has_ended_ || id_ <= 0)
    return;
  // An end before this moment is judged without the signals below.
  if (Wait(std::chrono::milliseconds(0)))
    return;
  Signal(SIGCONT);
  Signal(SIGKILL);
  Wait(std::chrono::seconds(10));
}

bool child_process::IsRequestedEnd(int raw_status) const {
  if (WIFSIGNALED(raw_status))
    return sent_signals_.count(WTERMSIG(raw_status)) > 0;
  return sent_signals_.count(SIGTERM) > 0 &&
         WEXITSTATUS(raw_status) <= kMaxExitStatus;
}

std::vector<std::string> child_process::TakeUnrequestedEnds() {
  return std::exchange(unrequested_ends, {});
}

}  // namespace papayakeel
