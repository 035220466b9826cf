#include "laburnumkeel/sessions/byte_writer.h"

namespace laburnumkeel::sessions {

void ByteWriter::Byte(std::uint8_t value) {
  this->bytes += static_cast<char>(value);
}

void ByteWriter::Number(std::uint64_t value) {
  for (int shift = 56; shift >= 0; shift -= 8) {
    this->Byte(
        static_cast<std::uint8_t>(value >> static_cast<unsigned>(shift)));
  }
}

void ByteWriter::Text(std::string_view text) {
  this->Byte(static_cast<std::uint8_t>(text.size()));
  this->bytes += text;
}

}  // namespace laburnumkeel::sessions
