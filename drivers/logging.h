// Structured logging through easylogging++: key=value lines on standard output.
// Log files are not supported, because entry VMs have no disks.
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

// Must be called once, before the first `Log`. `level` is debug, info, warning
// or error; any other text means info.
void InitializeLogging(std::string_view level);

// Returns the number of lines dropped because a write to standard output would
// have blocked or has failed.
std::uint64_t DroppedLogLines();

// Writes one line without blocking. Lines with the same `event` are limited to
// 60 per second; the next line of that event reports how many were suppressed.
void Log(log_level level,
         std::string_view event,
         std::initializer_list<log_field> fields = {});

}  // namespace papayakeel

#endif  // DRIVERS_LOGGING_H_
