// Slowdown of work under contention as a function of the share of an
// endpoint's slots in use when the work starts. One model for all endpoints of
// a service, whatever their number of slots.
#ifndef SERVERS_SCHEDULING_CONTENTION_MODEL_H_
#define SERVERS_SCHEDULING_CONTENTION_MODEL_H_

#include <array>

namespace papayakeel {

class contention_model {
 public:
  contention_model();

  // Adds an answered attempt that started at the usual speed of its endpoint
  // as number `used` of `slots` slots. `ratio` is its elapsed time relative to
  // the usual time of its work.
  void Add(int used, int slots, double ratio);

  // Slowdown of work that starts as number `used` of `slots` slots, relative to
  // work that starts without contention. At least 1.
  double Factor(int used, int slots) const;

  // Whether work that starts there takes so much longer that it is no sample
  // of the usual time and a wait for another slot may pay.
  bool IsContended(int used, int slots) const;

  // Number of slots of an endpoint that can be used without contention.
  int UncontendedSlots(int slots) const {
    return slots >= 0 && slots <= kMaxTabulatedSlots
               ? uncontended_slots_[slots]
               : CountUncontendedSlots(slots);
  }

  // Number of slots in use with the highest throughput. An endpoint that is
  // kept at `n` slots in use starts all its work at the speed of slot `n`.
  int UsefulSlots(int slots) const;

 private:
  // Shares are rounded to twelfths, which tell all slots apart on endpoints
  // with two, three, four or six slots.
  static constexpr int kLevels = 12;

  // A quantile of the logarithm of the ratios at one level.
  struct level {
    double log_ratio = 0;
    int samples = 0;
    double recent_samples = 0;  // Decays with each sample of any level.
    void Add(double log_sample);
  };

  // Schedulers ask for the uncontended slots of each endpoint several times per
  // request, so that they are tabulated for usual numbers of slots.
  static constexpr int kMaxTabulatedSlots = 8;

  static int LevelOf(int used, int slots);
  int CountUncontendedSlots(int slots) const;
  void UpdateFactors();
  void Tabulate();

  // Starts with at most half of the slots in use share one level.
  std::array<level, kLevels + 1> levels_;
  std::array<double, kLevels + 1> factors_;  // 1 <= each; 1 up to one half.
  std::array<int, kMaxTabulatedSlots + 1> uncontended_slots_;
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_CONTENTION_MODEL_H_
