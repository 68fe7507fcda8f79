// Formatting, rate limiting and non-blocking output of log lines.
#include "drivers/logging.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <map>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace papayakeel {

namespace {

// Limit for the lines of one event. It is above the request rate of one entry
// VM of the current size.
constexpr int kMaxEventLinesPerSecond = 60;

struct event_rate {
  std::chrono::steady_clock::time_point window_start;
  int written = 0;
  int suppressed = 0;
};

log_level minimum_level = log_level::kInfo;
std::uint64_t dropped_lines = 0;

log_level ParseLevel(std::string_view level) {
  if (level == "debug")
    return log_level::kDebug;
  if (level == "warning")
    return log_level::kWarning;
  if (level == "error")
    return log_level::kError;
  return log_level::kInfo;
}

void AppendValue(std::string& line, std::string_view value) {
  const bool is_plain = !value.empty() && value.find_first_of(" \"=\\\n\r\t") ==
                                              std::string_view::npos;
  if (is_plain) {
    line += value;
    return;
  }
  line += '"';
  for (const char each : value) {
    if (each == '"' || each == '\\')
      line += '\\';
    const bool is_control = static_cast<unsigned char>(each) < 0x20;
    line += is_control ? ' ' : each;
  }
  line += '"';
}

// PIPE_BUF: a pipe that is reported as writable accepts this many bytes without
// blocking. Longer lines are truncated.
constexpr std::size_t kMaxLineBytes = 4096;

// Drops the line when the write would block or fails.
void WriteWithoutBlocking(const std::string& line) {
  pollfd descriptor{STDOUT_FILENO, POLLOUT, 0};
  const bool is_writable =
      poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
  const std::size_t size = std::min(line.size(), kMaxLineBytes);
  if (!is_writable || write(STDOUT_FILENO, line.data(), size) < 0)
    ++dropped_lines;
}

}  // namespace

std::uint64_t DroppedLogLines() {
  return dropped_lines;
}

void InitializeLogging(std::string_view level) {
  minimum_level = ParseLevel(level);
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::reconfigureAllLoggers(configuration);
  // Replaces the default dispatcher, which blocks while the reader of the pipe
  // is stopped.
  class standard_output_writer : public el::LogDispatchCallback {
   protected:
    void handle(const el::LogDispatchData* data) override {
      const std::string line =
          data->logMessage()->logger()->logBuilder()->build(data->logMessage(),
                                                            true);
      WriteWithoutBlocking(line);
    }
  };
  el::Helpers::installLogDispatchCallback<standard_output_writer>(
      "standard_output_writer");
  el::Loggers::reconfigureAllLoggers(
      el::ConfigurationType::Format,
      "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
}

void Log(log_level level,
         std::string_view event,
         std::initializer_list<log_field> fields) {
  if (level < minimum_level)
    return;
  static std::map<std::string, event_rate, std::less<>> rates;
  auto found = rates.find(event);
  if (found == rates.end())
    found = rates.emplace(std::string(event), event_rate()).first;
  event_rate& rate = found->second;
  const std::chrono::steady_clock::time_point now =
      std::chrono::steady_clock::now();
  if (now - rate.window_start >= std::chrono::seconds(1)) {
    rate.window_start = now;
    rate.written = 0;
  }
  if (rate.written >= kMaxEventLinesPerSecond) {
    ++rate.suppressed;
    return;
  }
  ++rate.written;
  std::string line = "event=" + std::string(event);
  for (const log_field& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    AppendValue(line, field.value);
  }
  if (rate.suppressed > 0) {
    line += " suppressed=" + std::to_string(rate.suppressed);
    rate.suppressed = 0;
  }
  switch (level) {
    case log_level::kDebug:
      LOG(DEBUG) << line;
      return;
    case log_level::kInfo:
      LOG(INFO) << line;
      return;
    case log_level::kWarning:
      LOG(WARNING) << line;
      return;
    case log_level::kError:
      LOG(ERROR) << line;
      return;
  }
}

}  // namespace papayakeel
