// Structured logs: key=value lines on standard output, through easylogging++.
// There are no log files, because entry VMs have no disks.
#ifndef DRIVERS_LOGGING_H_
#define DRIVERS_LOGGING_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace papayakeel {

enum class log_level {
  kDebug,
  kInfo,
  kWarning,
  kError,
};

struct log_field {
  std::string_view key;
  std::string value;
};

// Call once, before the first `Log`. `level` is debug, info, warning or error.
void InitializeLogging(std::string_view level);

// Lines that were not written because the reader of standard output was slow.
std::uint64_t DroppedLogLines();

// Writes one line, never blocking. Lines with the same `event` are limited to
// 60 a second; the next line written says how many were left out.
void Log(log_level level,
         std::string_view event,
         std::initializer_list<log_field> fields = {});

}  // namespace papayakeel

#endif  // DRIVERS_LOGGING_H_
