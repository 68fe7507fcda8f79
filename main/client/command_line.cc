// Command line parsing with popt.
#include "main/client/command_line.h"

#include <popt.h>

#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <utility>

namespace papayakeel {

namespace {

constexpr int kHelpOptionCode = 1;
// popt identifies each option by a code; options of the command are numbered
// from this one.
constexpr int kFirstOptionCode = 2;

struct context_deleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};

struct memory_deleter {
  void operator()(char* memory) const { std::free(memory); }
};

std::string MakeHelp(poptContext context) {
  char* text = nullptr;
  std::size_t size = 0;
  std::FILE* stream = open_memstream(&text, &size);
  if (stream == nullptr)
    return "";
  poptPrintHelp(context, stream, 0);
  std::fclose(stream);
  const std::unique_ptr<char, memory_deleter> owner(text);
  return std::string(text, size);
}

}  // namespace

command_line::command_line(std::string command, std::string operands)
    : command_(std::move(command)), operand_help_(std::move(operands)) {}

void command_line::AddFlag(const std::string& name,
                           bool* value,
                           const std::string& help) {
  options_.push_back({name, help, "", false, false,
                      [value](const char*) -> std::optional<std::string> {
                        *value = true;
                        return std::nullopt;
                      }});
}

void command_line::AddText(const std::string& name,
                           std::string* value,
                           const std::string& help,
                           const std::string& placeholder,
                           bool is_required) {
  options_.push_back({name, help, placeholder, is_required, false,
                      [value](const char* text) -> std::optional<std::string> {
                        *value = text;
                        if (value->empty())
                          return "a non-empty text";
                        return std::nullopt;
                      }});
}

void command_line::AddList(const std::string& name,
                           std::vector<std::string>* values,
                           const std::string& help,
                           const std::string& placeholder) {
  options_.push_back({name, help, placeholder, false, false,
                      [values](const char* text) -> std::optional<std::string> {
                        values->emplace_back(text);
                        return std::nullopt;
                      }});
}

void command_line::AddNumber(const std::string& name,
                             std::uint64_t* value,
                             std::uint64_t lowest,
                             std::uint64_t highest,
                             const std::string& help,
                             bool is_required) {
  options_.push_back({name, help, "N", is_required, false,
                      [value, lowest, highest](
                          const char* text) -> std::optional<std::string> {
                        const char* end = text + std::strlen(text);
                        const std::from_chars_result parsed =
                            std::from_chars(text, end, *value);
                        if (parsed.ec == std::errc() && parsed.ptr == end &&
                            *value >= lowest && *value <= highest) {
                          return std::nullopt;
                        }
                        return "an integer from " + std::to_string(lowest) +
                               " to " + std::to_string(highest);
                      }});
}

std::optional<int> command_line::Parse(
    const std::vector<std::string>& arguments,
    const client_output& output) {
  std::vector<poptOption> table;
  table.push_back({"help", '?', POPT_ARG_NONE, nullptr, kHelpOptionCode,
                   "Show this help and exit", nullptr});
  for (std::size_t i = 0; i < options_.size(); ++i) {
    const option& each = options_[i];
    const bool is_flag = each.placeholder.empty();
    table.push_back(
        {each.name.c_str(), '\0',
         static_cast<unsigned>(is_flag ? POPT_ARG_NONE : POPT_ARG_STRING),
         nullptr, static_cast<int>(i) + kFirstOptionCode, each.help.c_str(),
         is_flag ? nullptr : each.placeholder.c_str()});
  }
  table.push_back(POPT_TABLEEND);
  const std::string program = "papayakeelctl " + command_;
  std::vector<const char*> argv = {program.c_str()};
  for (const std::string& each : arguments)
    argv.push_back(each.c_str());
  argv.push_back(nullptr);
  const std::unique_ptr<std::remove_pointer_t<poptContext>, context_deleter>
      context(poptGetContext(program.c_str(), static_cast<int>(argv.size()) - 1,
                             argv.data(), table.data(), 0));
  const std::string usage = "[OPTION...] " + operand_help_;
  poptSetOtherOptionHelp(context.get(), usage.c_str());
  int option_code = 0;
  while ((option_code = poptGetNextOpt(context.get())) > 0) {
    if (option_code == kHelpOptionCode) {
      output.out << MakeHelp(context.get());
      return kExitOk;
    }
    option& chosen =
        options_[static_cast<std::size_t>(option_code - kFirstOptionCode)];
    chosen.is_given = true;
    const std::unique_ptr<char, memory_deleter> text(
        poptGetOptArg(context.get()));
    const std::optional<std::string> allowed = chosen.parse_value(text.get());
    if (allowed) {
      return FailUsage("--" + chosen.name + ": found \"" + text.get() +
                           "\", allowed: " + *allowed,
                       output);
    }
  }
  if (option_code < -1) {
    return FailUsage(
        std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) +
            ": " + poptStrerror(option_code),
        output);
  }
  while (const char* operand = poptGetArg(context.get()))
    operands_.emplace_back(operand);
  for (const option& each : options_) {
    if (each.is_required && !each.is_given)
      return FailUsage("--" + each.name + " is required", output);
  }
  return std::nullopt;
}

int command_line::FailUsage(const std::string& message,
                            const client_output& output) const {
  return output.FailUsage(command_ + ": " + message + "; see papayakeelctl " +
                          command_ + " --help");
}

}  // namespace papayakeel
