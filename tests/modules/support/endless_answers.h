// Answers of faulty servers that never end.
#ifndef TESTS_MODULES_SUPPORT_ENDLESS_ANSWERS_H_
#define TESTS_MODULES_SUPPORT_ENDLESS_ANSWERS_H_

#include <string>
#include <vector>

namespace papayakeel {

struct endless_answer {
  const char* name;
  std::string start;
  std::string endless;  // Follows `start` again and again.
  // Consists of whole answers, though not to the request.
  bool is_whole = false;
};

// `start` is the status line and the first headers of an answer.
std::vector<endless_answer> MakeEndlessAnswers(const std::string& start);

}  // namespace papayakeel

#endif  // TESTS_MODULES_SUPPORT_ENDLESS_ANSWERS_H_
