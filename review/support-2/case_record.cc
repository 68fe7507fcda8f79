// Formatting of record lines.
#include "review/support-2/case_record.h"

#include <cstdio>
#include <cstdlib>

namespace papayakeel::review {

case_record::case_record(const std::string& path)
    : started_at_(std::chrono::steady_clock::now()), file_(path) {}

void case_record::Write(const std::string& line) {
  const std::chrono::duration<double> since =
      std::chrono::steady_clock::now() - started_at_;
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f s  ", since.count());
  const std::lock_guard<std::mutex> guard(mutex_);
  file_ << time << line << std::endl;
}

void case_record::WriteSummary(const std::string& line) {
  Write(line);
  std::printf("%s\n", line.c_str());
}

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace papayakeel::review
