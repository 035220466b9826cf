#ifndef LABURNUMKEEL_SESSIONS_BYTE_WRITER_H_
#define LABURNUMKEEL_SESSIONS_BYTE_WRITER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace laburnumkeel::sessions {

// Encodes numbers in big-endian order and texts with a length byte in front.
class ByteWriter {
 public:
  void WriteByte(std::uint8_t value);
  void WriteNumber(std::uint64_t value);
  // At most 255 bytes; the caller checks the length.
  void WriteText(std::string_view text);

  const std::string& Bytes() const { return this->bytes; }

 private:
  std::string bytes;
};

}  // namespace laburnumkeel::sessions

#endif  // LABURNUMKEEL_SESSIONS_BYTE_WRITER_H_
