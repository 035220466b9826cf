#include "laburnumkeel/kernel/backoff.h"

#include <algorithm>

namespace laburnumkeel::kernel {

Duration Backoff(Duration initial, Duration maximum, int attempts,
                 double random) {
  Duration backoff = initial;
  for (int step = 1; step < attempts && backoff < maximum; ++step) {
    backoff *= 2;
  }
  backoff = std::min(backoff, maximum);
  const double jitter = static_cast<double>(backoff.count()) * random / 2;
  return backoff / 2 + Duration(static_cast<Duration::rep>(jitter));
}

}  // namespace laburnumkeel::kernel
