// Tests of who gives way when the memory for answers is used up.
#include "modules/endpoint_link/answer_memory.h"

#include <list>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

// All answers may take 1 MiB, one of them half of that.
constexpr std::size_t kMemoryLimit = 8 << 20;

constexpr std::size_t kFaultyEndpoints = 7;
constexpr std::size_t kAnswersOfEach = 4;

}  // namespace

TEST_GROUP(answer_memory) {
  std::shared_ptr<answer_memory> memory =
      std::make_shared<answer_memory>(kMemoryLimit);
  std::list<answer_share> shares;
  std::vector<std::string> withdrawn;  // Endpoints, in order.

  answer_share& Add(const std::string& endpoint) {
    shares.emplace_back(memory, endpoint,
                        [this, endpoint] { withdrawn.push_back(endpoint); });
    return shares.back();
  }
};

// Guards against an answer that finds no memory because faulty endpoints, each
// with several answers, have used it up: an equal share is sure.
TEST(answer_memory, EachEndpointIsSureOfAnEqualShare) {
  for (std::size_t index = 0; index < kFaultyEndpoints * kAnswersOfEach;
       ++index) {
    const std::size_t endpoint = index % kFaultyEndpoints;
    Add("f" + std::to_string(endpoint)).Resize(50000 + 1000 * endpoint);
  }
  const std::size_t sure = memory->total_limit() / (kFaultyEndpoints + 1);
  CHECK(memory->held() + sure > memory->total_limit());
  answer_share& sound = Add("s");
  for (std::size_t bytes = 1000; bytes < sure; bytes += 1000) {
    CHECK(sound.Resize(bytes));
    CHECK(memory->held() <= memory->total_limit());
  }
  CHECK(sound.Resize(sure));
  CHECK_FALSE(withdrawn.empty());
  for (const std::string& endpoint : withdrawn)
    CHECK(endpoint != "s");
}

// Guards against small answers that end although a large one could.
TEST(answer_memory, TheEndpointThatHoldsMostGivesWay) {
  answer_share& large = Add("large");
  answer_share& larger = Add("large");
  answer_share& small = Add("small");
  CHECK(large.Resize(300000));
  CHECK(larger.Resize(400000));
  CHECK(small.Resize(340000));
  answer_share& taker = Add("taker");
  CHECK(taker.Resize(100000));
  LONGS_EQUAL(1, withdrawn.size());
  STRCMP_EQUAL("large", withdrawn.front().c_str());
  LONGS_EQUAL(1, memory->withdrawn_total());
  // The larger of its two answers.
  CHECK_FALSE(larger.Resize(1));
  CHECK(large.Resize(300001));
  LONGS_EQUAL(300001 + 340000 + 100000, memory->held());
}

// Guards against endpoints that take from each other in turn.
TEST(answer_memory, NobodyGivesWayToAnEndpointThatWouldHoldMore) {
  CHECK(Add("a").Resize(520000));
  answer_share& other = Add("b");
  CHECK(other.Resize(520000));
  CHECK_FALSE(Add("b").Resize(10000));
  CHECK(withdrawn.empty());
  shares.clear();
  LONGS_EQUAL(0, memory->held());
}

// Guards against a ready answer that is dropped for others.
TEST(answer_memory, CompleteAnswersStay) {
  for (int index = 0; index < 2; ++index) {
    answer_share& share = Add("a");
    CHECK(share.Resize(520000));
    share.Complete();
  }
  CHECK_FALSE(Add("b").Resize(10000));
  CHECK(withdrawn.empty());
  shares.clear();
  LONGS_EQUAL(0, memory->held());
}

// Guards against answers that find no memory because callers that have stopped
// reading hold it; those of endpoints that send too much still give way first.
TEST(answer_memory, CompleteAnswersGiveWayLast) {
  answer_share& held = Add("held");
  CHECK(held.Resize(memory->single_limit()));
  held.Complete();
  int reclaimed = 0;
  memory->SetReclaimHook([this, &reclaimed] {
    ++reclaimed;
    if (reclaimed == 1)
      shares.pop_front();
    return reclaimed == 1;
  });
  CHECK(Add("large").Resize(memory->single_limit()));
  CHECK(Add("small").Resize(1000));
  LONGS_EQUAL(0, reclaimed);
  LONGS_EQUAL(1, withdrawn.size());
  STRCMP_EQUAL("large", withdrawn.front().c_str());
  CHECK(Add("other").Resize(memory->single_limit() - 1000));
  CHECK(shares.back().Resize(memory->single_limit()));
  LONGS_EQUAL(1, reclaimed);
  CHECK(shares.back().Resize(memory->single_limit()));
}

}  // namespace papayakeel
