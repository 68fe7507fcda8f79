// Entry point of papayakeelctl.
#include <sodium.h>

#include <iostream>
#include <string>
#include <vector>

#include "main/client/client.h"

int main(int argument_count, const char** arguments) {
  if (sodium_init() < 0)
    return papayakeel::kExitUsage;
  const std::vector<std::string> texts(arguments + 1,
                                       arguments + argument_count);
  const papayakeel::client_output output{std::cout, std::cerr};
  return papayakeel::RunClient(texts, output);
}
