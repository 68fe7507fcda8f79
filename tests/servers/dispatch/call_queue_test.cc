// Tests of the call queue.
#include "servers/dispatch/call_queue.h"

#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

namespace papayakeel {

TEST_GROUP(call_queue){};

// Guards against dispatching less important calls before more important ones,
// and against reordering calls of the same importance.
TEST(call_queue, DispatchesByImportanceThenArrival) {
  call_queue queue;
  queue.Push(10, 3, 1);
  queue.Push(11, 1, 2);
  queue.Push(12, 1, 3);
  std::vector<call_id> order;
  while (!queue.empty()) {
    order.push_back(*queue.Next());
    queue.PopNext();
  }
  CHECK((order == std::vector<call_id>{11, 12, 10}));
}

// Guards against starvation of the least important calls: they get a tenth of
// the dispatches while more important calls are queued.
TEST(call_queue, ReservesATenthForLowerImportance) {
  call_queue queue;
  std::uint64_t sequence_number = 1;
  for (int count = 0; count < 200; ++count)
    queue.Push(sequence_number, 0, sequence_number), ++sequence_number;
  for (int count = 0; count < 50; ++count)
    queue.Push(sequence_number, 7, sequence_number), ++sequence_number;
  int lower = 0;
  for (int count = 0; count < 110; ++count) {
    lower += *queue.Next() > 200 ? 1 : 0;
    queue.PopNext();
  }
  CHECK_EQUAL(10, lower);
}

// Guards against refusing an important call while less important calls fill the
// queue, and against evicting calls from their reserved places.
TEST(call_queue, EvictsTheNewestOfTheLeastImportant) {
  call_queue queue;
  for (std::uint64_t sequence_number = 1; sequence_number <= 10;
       ++sequence_number)
    queue.Push(sequence_number, 6, sequence_number);
  CHECK(queue.EvictionCandidate(1, 10) == call_id{10});
  CHECK_FALSE(queue.EvictionCandidate(6, 10).has_value());
  for (std::uint64_t sequence_number = 2; sequence_number <= 10;
       ++sequence_number)
    queue.Remove(6, sequence_number);
  CHECK_FALSE(queue.EvictionCandidate(1, 10).has_value());
}

// Guards against losing a call or dispatching it twice under any sequence of
// operations.
TEST(call_queue, DispatchesEveryCallOnce) {
  const bool holds = rc::check([] {
    call_queue queue;
    std::vector<std::pair<int, std::uint64_t>> inside;
    std::uint64_t sequence_number = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(
        rc::gen::inRange(0, 3 * call_queue::kLevels));
    for (const int step : steps) {
      if (step < 2 * call_queue::kLevels) {
        ++sequence_number;
        queue.Push(sequence_number, step / 2, sequence_number);
        inside.emplace_back(step / 2, sequence_number);
      } else if (!inside.empty()) {
        const call_id next = queue.Next().value();
        queue.PopNext();
        const auto found = std::find_if(
            inside.begin(), inside.end(),
            [next](const auto& each) { return each.second == next; });
        RC_ASSERT(found != inside.end());
        // The call is the oldest one of its importance.
        RC_ASSERT(
            std::none_of(inside.begin(), inside.end(), [&](const auto& each) {
              return each.first == found->first && each.second < next;
            }));
        inside.erase(found);
      }
      RC_ASSERT(queue.size() == inside.size());
    }
  });
  CHECK(holds);
}

}  // namespace papayakeel
