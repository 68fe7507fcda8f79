// Answers of faulty servers that never end.
#ifndef TESTS_MODULES_SUPPORT_ENDLESS_ANSWERS_H_
#define TESTS_MODULES_SUPPORT_ENDLESS_ANSWERS_H_

#include <string>
#include <vector>

namespace papayakeel {

// Status line and first headers of an answer to the request "r1".
extern const char kEndlessAnswerStart[];

struct endless_answer {
  const char* name;
  std::string start;
  std::string endless;  // Follows `start` again and again.
  // Consists of whole answers, though not to the request "r1".
  bool is_whole = false;
};

std::vector<endless_answer> MakeEndlessAnswers();

}  // namespace papayakeel

#endif  // TESTS_MODULES_SUPPORT_ENDLESS_ANSWERS_H_
