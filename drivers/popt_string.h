// Ownership of the strings that popt allocates for parsed options.
#ifndef DRIVERS_POPT_STRING_H_
#define DRIVERS_POPT_STRING_H_

#include <cstdlib>
#include <string>

namespace papayakeel {

// Returns the value of an option, or an empty string when the option was not
// given. Frees the string that popt allocated and sets `text` to nullptr.
inline std::string TakePoptString(char*& text) {
  std::string taken = text != nullptr ? text : "";
  std::free(text);
  text = nullptr;
  return taken;
}

}  // namespace papayakeel

#endif  // DRIVERS_POPT_STRING_H_
