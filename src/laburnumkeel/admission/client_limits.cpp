#include "laburnumkeel/admission/client_limits.h"

#include <algorithm>

namespace laburnumkeel::admission {

namespace {

constexpr std::size_t kClientMemoryPercent = 40;
constexpr std::size_t kWholePercent = 100;
// The platform keeps 200 descriptors of a machine for files. The connections to
// endpoints, store and balancer of the largest fleet take fewer than the rest.
constexpr std::size_t kKeptDescriptors = 200 + 256;

}  // namespace

std::size_t ClientMemory(const MachineLimits& machine) {
  return machine.memory_bytes / kWholePercent * kClientMemoryPercent;
}

std::size_t ClientConnections(const MachineLimits& machine) {
  // A process that may open only a few descriptors keeps half of them.
  return machine.descriptors -
         std::min(kKeptDescriptors, machine.descriptors / 2);
}

}  // namespace laburnumkeel::admission
