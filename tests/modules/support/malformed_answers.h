// Responses with an invalid status, or with a malformed line in the header or
// trailer section. All readers of responses are tested with the same cases.
#ifndef TESTS_MODULES_SUPPORT_MALFORMED_ANSWERS_H_
#define TESTS_MODULES_SUPPORT_MALFORMED_ANSWERS_H_

#include <string>
#include <vector>

namespace papayakeel {

struct malformed_answer {
  std::string name;
  std::string bytes;
};

// Each response is followed by a valid one, which must not be read as the
// response to the same request. `fields` are the field lines of a valid
// response, without those of its framing.
std::vector<malformed_answer> MakeInvalidStatuses(const std::string& fields);

// Each malformed line appears as the first line of the header section, between
// other lines and as the last one, and as the first and the second line of the
// trailer section.
std::vector<malformed_answer> MakeMalformedFields(const std::string& fields);

}  // namespace papayakeel

#endif  // TESTS_MODULES_SUPPORT_MALFORMED_ANSWERS_H_
