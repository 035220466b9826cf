#ifndef LABURNUMKEEL_PEER_DATAGRAM_CODEC_H_
#define LABURNUMKEEL_PEER_DATAGRAM_CODEC_H_

#include <thrift/TApplicationException.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumkeel::peer::detail {

// The bytes of a datagram: a tag that names the kind of message, and the
// Thrift structure.
template <class Message>
std::string Serialize(char tag, const Message& message) {
  const auto buffer =
      std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocol protocol(buffer);
  message.write(&protocol);
  std::string bytes(1, tag);
  bytes += buffer->getBufferAsString();
  return bytes;
}

// Empty when the datagram is of another kind or cannot be decoded.
template <class Message>
std::optional<Message> Deserialize(char tag, std::string_view bytes) {
  if (bytes.empty() || bytes.front() != tag) {
    return std::nullopt;
  }
  bytes.remove_prefix(1);
  std::string copy(bytes);
  const auto buffer =
      std::make_shared<apache::thrift::transport::TMemoryBuffer>(
          // Thrift takes unsigned bytes.
          // NOLINTNEXTLINE(google-readability-casting)
          reinterpret_cast<std::uint8_t*>(copy.data()),
          static_cast<std::uint32_t>(copy.size()));
  // An element takes at least one byte. Without a limit, a few bytes that
  // announce a long list make Thrift allocate it.
  const auto size_limit = static_cast<std::int32_t>(copy.size());
  apache::thrift::protocol::TCompactProtocolT<
      apache::thrift::transport::TMemoryBuffer>
      protocol(buffer, size_limit, size_limit);
  try {
    Message message;
    message.read(&protocol);
    return message;
  } catch (const apache::thrift::TException&) {
    return std::nullopt;
  }
}

}  // namespace laburnumkeel::peer::detail

#endif  // LABURNUMKEEL_PEER_DATAGRAM_CODEC_H_
