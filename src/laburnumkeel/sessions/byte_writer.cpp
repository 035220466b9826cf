#include "laburnumkeel/sessions/byte_writer.h"

namespace laburnumkeel::sessions {

void ByteWriter::WriteByte(std::uint8_t value) {
  this->bytes += static_cast<char>(value);
}

void ByteWriter::WriteNumber(std::uint64_t value) {
  for (int shift = 56; shift >= 0; shift -= 8) {
    this->WriteByte(
        static_cast<std::uint8_t>(value >> static_cast<unsigned>(shift)));
  }
}

void ByteWriter::WriteText(std::string_view text) {
  this->WriteByte(static_cast<std::uint8_t>(text.size()));
  this->bytes += text;
}

}  // namespace laburnumkeel::sessions
