// The record of a case: what was sent, answered and run. Lines go to the file
// of the record and, if they are a summary, to standard output too.
#ifndef REVIEW_SUPPORT_2_CASE_RECORD_H_
#define REVIEW_SUPPORT_2_CASE_RECORD_H_

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace papayakeel::review {

// Exit statuses of a case.
constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kCouldNotRun = 2;

class case_record {
 public:
  explicit case_record(const std::string& path);

  // Writes a line with the time since the record began. May be called by any
  // thread.
  void Write(const std::string& line);
  void WriteSummary(const std::string& line);

 private:
  const std::chrono::steady_clock::time_point started_at_;
  std::mutex mutex_;
  std::ofstream file_;  // Guarded by `mutex_`.
};

// Whether the case is run with its disruption: false if TROUBLE is 0.
bool HasTrouble();

}  // namespace papayakeel::review

#endif  // REVIEW_SUPPORT_2_CASE_RECORD_H_
