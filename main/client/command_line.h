// Parser for the options and operands of one papayakeelctl command.
#ifndef MAIN_CLIENT_COMMAND_LINE_H_
#define MAIN_CLIENT_COMMAND_LINE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "main/client/client_output.h"

namespace papayakeel {

class command_line {
 public:
  // `command` is the full name of the command, such as "bundle sign".
  // `operands` describes the operands in the help text, such as "FILE".
  command_line(std::string command, std::string operands);

  // Each of these adds an option. The pointers must stay valid until `Parse`
  // returns. An absent required option and a number out of range are usage
  // errors.
  void AddFlag(const std::string& name, bool* value, const std::string& help);
  void AddText(const std::string& name,
               std::string* value,
               const std::string& help,
               const std::string& placeholder,
               bool is_required);
  void AddList(const std::string& name,
               std::vector<std::string>* values,
               const std::string& help,
               const std::string& placeholder);
  void AddNumber(const std::string& name,
                 std::uint64_t* value,
                 std::uint64_t lowest,
                 std::uint64_t highest,
                 const std::string& help,
                 bool is_required);

  // Parses the arguments that follow the name of the command. Returns
  // std::nullopt if the command can run. Otherwise prints the help text and
  // returns kExitOk, or prints an error message and returns kExitUsage.
  std::optional<int> Parse(const std::vector<std::string>& arguments,
                           const client_output& output);

  const std::vector<std::string>& operands() const { return operands_; }

 private:
  struct option {
    std::string name;
    std::string help;
    std::string placeholder;  // Empty for a flag.
    bool is_required = false;
    bool is_given = false;
    // Parses and stores a value. Returns a description of the allowed values if
    // the value is invalid.
    std::function<std::optional<std::string>(const char* text)> parse_value;
  };

  int FailUsage(const std::string& message, const client_output& output) const;

  const std::string command_;
  const std::string operand_help_;
  std::vector<option> options_;
  std::vector<std::string> operands_;
};

}  // namespace papayakeel

#endif  // MAIN_CLIENT_COMMAND_LINE_H_
