#include "laburnumkeel/admission/return_schedule.h"

#include <algorithm>
#include <chrono>

namespace laburnumkeel::admission {

namespace {

// A client that returns earlier than this adds load while the queue it was
// refused for still stands.
constexpr std::chrono::milliseconds kShortest{50};
// A longer wait is a guess: the load of some seconds ago says little.
constexpr std::chrono::milliseconds kLongest{10000};

}  // namespace

kernel::Duration ReturnDelay(kernel::Duration drain, int rank, int ranks,
                             double random) {
  const kernel::Duration spread =
      std::clamp<kernel::Duration>(drain, kShortest, kLongest);
  const double count = std::max(ranks, 1);
  const double place = std::clamp<double>(rank, 0, count - 1);
  // Each priority has its own part of the time after the queue has drained.
  const double share = (place + random) / count;
  return spread + std::chrono::duration_cast<kernel::Duration>(spread * share);
}

}  // namespace laburnumkeel::admission
