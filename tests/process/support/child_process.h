// A process that a test starts, signals and waits for, by its id. Ends that
// nobody asked for are recorded, so that no run passes in spite of a crash.
#ifndef TESTS_PROCESS_SUPPORT_CHILD_PROCESS_H_
#define TESTS_PROCESS_SUPPORT_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace papayakeel {

class child_process {
 public:
  // Starts `arguments[0]`. Standard error goes to `log_path`.
  child_process(const std::vector<std::string>& arguments,
                const std::string& log_path);
  // Kills the process when it still runs.
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  void Signal(int signal_number);

  // Waits for the end. Returns the exit status, 128 plus the signal, or
  // nothing when the process outlives `limit`.
  std::optional<int> Wait(std::chrono::milliseconds limit);

  // SIGKILL and wait.
  void Kill();

  pid_t id() const { return id_; }

  // A line for each child process of this program that has ended unasked since
  // the last call: before it was told to stop, by a signal that nobody sent, or
  // with a status that the daemon does not use. Ends are noticed by Wait(),
  // Kill() and the destructor, which must all be called in one thread.
  static std::vector<std::string> TakeUnrequestedEnds();

 private:
  // Whether an end with `raw_status`, as from waitpid(), was asked for.
  bool IsRequestedEnd(int raw_status) const;

  const std::string command_;
  std::set<int> sent_signals_;
  pid_t id_ = -1;
  bool has_ended_ = false;
  int status_ = 0;
};

}  // namespace papayakeel

#endif  // TESTS_PROCESS_SUPPORT_CHILD_PROCESS_H_
