#ifndef LABURNUMKEEL_SESSIONS_BYTE_READER_H_
#define LABURNUMKEEL_SESSIONS_BYTE_READER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace laburnumkeel::sessions {

// Reads the output of ByteWriter. After a read past the end all values are 0 or
// empty and `IsComplete()` is false.
class ByteReader {
 public:
  // `bytes` must outlive the reader.
  explicit ByteReader(std::string_view bytes) : bytes(bytes) {}

  std::uint8_t ReadByte();
  std::uint64_t ReadNumber();
  std::string ReadText();

  // True if all bytes were read and no read went past the end.
  bool IsComplete() const { return !this->has_failed && this->bytes.empty(); }

 private:
  std::string_view bytes;
  bool has_failed = false;
};

}  // namespace laburnumkeel::sessions

#endif  // LABURNUMKEEL_SESSIONS_BYTE_READER_H_
