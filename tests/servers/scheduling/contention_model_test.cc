// Tests of the learned slowdown under contention.
#include "servers/scheduling/contention_model.h"

#include <initializer_list>

#include <CppUTest/TestHarness.h>

namespace papayakeel {
namespace {

// Ratios around the usual time as single attempts show them.
constexpr double kVariation[] = {0.8, 1.3, 0.9, 1.1, 1.0, 0.7, 1.5, 1.0};

// Adds `rounds` starts in each slot from `first` to `last`, with the slowdown
// `contended` above 0.8 of the slots.
void Teach(contention_model& model,
           int slots,
           int first,
           int last,
           int rounds,
           double contended,
           double usual = 1) {
  for (int round = 0; round < rounds; ++round) {
    for (int used = first; used <= last; ++used) {
      const double slowdown = used > 0.8 * slots ? contended : 1;
      model.Add(used, slots, usual * slowdown * kVariation[round % 8]);
    }
  }
}

}  // namespace

TEST_GROUP(contention_model){};

// Guards against a model that knows only the last slot. With six slots the
// fifth is slow, too, with three or two only the last.
TEST(contention_model, LearnsTheContendedSlotsOfAnyEndpoint) {
  for (const int slots : {2, 3, 6}) {
    contention_model model;
    Teach(model, slots, 1, slots, 400, 1.7);
    const int uncontended = slots == 6 ? 4 : slots - 1;
    LONGS_EQUAL(uncontended, model.UncontendedSlots(slots));
    for (int used = 1; used <= slots; ++used) {
      DOUBLES_EQUAL(used > uncontended ? 1.7 : 1, model.Factor(used, slots),
                    0.25);
    }
  }
}

// Guards against slots that stay unused because of the initial assumption.
TEST(contention_model, LearnsThatNoSlotIsContended) {
  contention_model model;
  LONGS_EQUAL(4, model.UncontendedSlots(6));
  Teach(model, 6, 1, 6, 100, 1);
  LONGS_EQUAL(6, model.UncontendedSlots(6));
  LONGS_EQUAL(6, model.UsefulSlots(6));
}

// Guards against a use of slots that lowers the throughput: an endpoint that is
// kept full starts all its work at the contended speed.
TEST(contention_model, UsefulSlotsHaveTheHighestThroughput) {
  const contention_model model;
  LONGS_EQUAL(4, model.UsefulSlots(6));
  LONGS_EQUAL(2, model.UsefulSlots(3));
  LONGS_EQUAL(2, model.UsefulSlots(2));
  LONGS_EQUAL(1, model.UsefulSlots(1));
}

// Guards against a service that starts at full load, where no start is without
// contention, and takes the contended time for the usual one.
TEST(contention_model, KeepsTheFactorsWithoutStartsToCompareWith) {
  contention_model model;
  Teach(model, 2, 2, 2, 20000, 1.7, 1 / 1.7);
  DOUBLES_EQUAL(1.7, model.Factor(2, 2), 0.001);
}

// Guards against a model that never corrects an estimate of the work which was
// taken from contended starts.
TEST(contention_model, ComparesWithTheFastestLevel) {
  contention_model model;
  Teach(model, 6, 5, 6, 100, 1);
  Teach(model, 6, 1, 4, 100, 1);
  // The estimate of the work is too long by 1.7, and a few starts in the fourth
  // slot show it.
  for (int round = 0; round < 300; ++round) {
    Teach(model, 6, 5, 6, 10, 1.7, 1 / 1.7);
    Teach(model, 6, 4, 4, 1, 1.7, 1 / 1.7);
  }
  LONGS_EQUAL(4, model.UncontendedSlots(6));
}

}  // namespace papayakeel
