// Strings that popt allocates for the options it parses.
#ifndef DRIVERS_POPT_STRING_H_
#define DRIVERS_POPT_STRING_H_

#include <cstdlib>
#include <string>

namespace papayakeel {

// Returns the option's text, empty when it was not given, and frees popt's
// copy.
inline std::string TakePoptString(char*& text) {
  std::string taken = text != nullptr ? text : "";
  std::free(text);
  text = nullptr;
  return taken;
}

}  // namespace papayakeel

#endif  // DRIVERS_POPT_STRING_H_
