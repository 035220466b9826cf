#include "laburnumkeel/sessions/byte_reader.h"

namespace laburnumkeel::sessions {

std::uint8_t ByteReader::ReadByte() {
  if (this->bytes.empty()) {
    this->has_failed = true;
    return 0;
  }
  const auto value = static_cast<std::uint8_t>(this->bytes.front());
  this->bytes.remove_prefix(1);
  return value;
}

std::uint64_t ByteReader::ReadNumber() {
  std::uint64_t value = 0;
  for (int count = 0; count < 8; ++count) {
    value = (value << 8U) | this->ReadByte();
  }
  return value;
}

std::string ByteReader::ReadText() {
  const std::size_t size = this->ReadByte();
  if (size > this->bytes.size()) {
    this->has_failed = true;
    this->bytes = {};
    return "";
  }
  std::string text(this->bytes.substr(0, size));
  this->bytes.remove_prefix(size);
  return text;
}

}  // namespace laburnumkeel::sessions
