#ifndef LABURNUMKEEL_MODEL_STORE_VERSION_H_
#define LABURNUMKEEL_MODEL_STORE_VERSION_H_

#include <cstdint>
#include <string>

// Versions of rows in the store. A store that is restored from a copy gives out
// versions a second time, in the next era. A version holds its era in the upper
// bits, so that each version of an era is higher than all of earlier eras.
namespace laburnumkeel::model {

inline constexpr int kVersionNumberBits = 40;
inline constexpr std::uint64_t kMaximumVersionNumber =
    (std::uint64_t{1} << kVersionNumberBits) - 1;
// Versions are sent as signed 64-bit integers.
inline constexpr std::uint64_t kMaximumEra = (std::uint64_t{1} << 23) - 1;

// The version that the store gave out as `number` in `era`, which are at most
// kMaximumVersionNumber and kMaximumEra.
constexpr std::uint64_t StoreVersion(std::uint64_t era, std::uint64_t number) {
  return (era & kMaximumEra) << kVersionNumberBits |
         (number & kMaximumVersionNumber);
}

constexpr std::uint64_t EraOf(std::uint64_t version) {
  return version >> kVersionNumberBits;
}

// The version as the store knows it.
constexpr std::uint64_t NumberOf(std::uint64_t version) {
  return version & kMaximumVersionNumber;
}

// `era.number`, for log lines.
inline std::string VersionText(std::uint64_t version) {
  return std::to_string(EraOf(version)) + "." +
         std::to_string(NumberOf(version));
}

}  // namespace laburnumkeel::model

#endif  // LABURNUMKEEL_MODEL_STORE_VERSION_H_
