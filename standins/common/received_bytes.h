#ifndef LABURNUMKEEL_STANDINS_COMMON_RECEIVED_BYTES_H_
#define LABURNUMKEEL_STANDINS_COMMON_RECEIVED_BYTES_H_

#include <mutex>
#include <string>
#include <string_view>

namespace laburnumkeel::standins {

// Record of the bytes received on all connections, so that a test can search
// them for a caller's key. Thread-safe.
class ReceivedBytes {
 public:
  explicit ReceivedBytes(bool enabled);

  // Records bytes up to a total of 64 MiB; later bytes are dropped.
  void Add(std::string_view bytes);

  std::string Copy() const;

 private:
  const bool enabled;
  mutable std::mutex mutex;
  std::string bytes;
};

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_COMMON_RECEIVED_BYTES_H_
