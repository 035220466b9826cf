#include "laburnumkeel/kernel/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>

namespace laburnumkeel::kernel {

std::string HmacSha256(std::string_view secret, std::string_view message) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(message.data()), message.size(),
       digest.data(), &length);
  return {reinterpret_cast<const char*>(digest.data()), length};
}

bool ConstantTimeEqual(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string ToHexadecimal(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(bytes.size() * 2);
  for (const char byte : bytes) {
    text += kDigits[static_cast<unsigned char>(byte) >> 4U];
    text += kDigits[static_cast<unsigned char>(byte) & 0xfU];
  }
  return text;
}

std::string ToBase64Url(std::string_view bytes) {
  std::string text(((bytes.size() + 2) / 3) * 4 + 1, '\0');
  const int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  text.erase(text.find_last_not_of('=') + 1);
  std::replace(text.begin(), text.end(), '+', '-');
  std::replace(text.begin(), text.end(), '/', '_');
  return text;
}

std::optional<std::string> FromBase64Url(std::string_view text) {
  std::string padded(text);
  std::replace(padded.begin(), padded.end(), '-', '+');
  std::replace(padded.begin(), padded.end(), '_', '/');
  const std::size_t padding = (4 - padded.size() % 4) % 4;
  padded.append(padding, '=');
  std::string bytes(padded.size() / 4 * 3, '\0');
  const int length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(padded.data()),
                      static_cast<int>(padded.size()));
  if (length < 0 || padding == 3) {
    return std::nullopt;
  }
  bytes.resize(static_cast<std::size_t>(length) - padding);
  // Accepts only the canonical encoding; any other encoding of the same bytes
  // would also pass a signature check.
  if (ToBase64Url(bytes) != text) {
    return std::nullopt;
  }
  return bytes;
}

}  // namespace laburnumkeel::kernel
