#ifndef LABURNUMKEEL_KERNEL_DIGEST_H_
#define LABURNUMKEEL_KERNEL_DIGEST_H_

#include <optional>
#include <string>
#include <string_view>

namespace laburnumkeel::kernel {

// HMAC-SHA-256 of `message` under `secret`: 32 raw bytes. Source: RFC 2104.
std::string HmacSha256(std::string_view secret, std::string_view message);

// Compares in a time that depends only on the lengths, so that an attacker
// cannot find a digest byte by byte from response times.
bool ConstantTimeEqual(std::string_view left, std::string_view right);

// Lower-case hexadecimal digits of the bytes.
std::string ToHexadecimal(std::string_view bytes);

// Base64 with the URL alphabet and without padding. Source: RFC 4648.
std::string ToBase64Url(std::string_view bytes);

// Empty when the text is not canonical base64url without padding.
std::optional<std::string> FromBase64Url(std::string_view text);

}  // namespace laburnumkeel::kernel

#endif  // LABURNUMKEEL_KERNEL_DIGEST_H_
