#ifndef LABURNUMKEEL_SESSIONS_BYTE_WRITER_H_
#define LABURNUMKEEL_SESSIONS_BYTE_WRITER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace laburnumkeel::sessions {

// Appends values in big-endian order.
class ByteWriter {
 public:
  void Byte(std::uint8_t value);
  void Number(std::uint64_t value);
  // At most 255 bytes; the caller checks the length.
  void Text(std::string_view text);

  const std::string& Bytes() const { return this->bytes; }

 private:
  std::string bytes;
};

}  // namespace laburnumkeel::sessions

#endif  // LABURNUMKEEL_SESSIONS_BYTE_WRITER_H_
