#include "laburnumkeel/endpoints/transaction_id.h"

#include <array>
#include <string_view>
#include <utility>

#include "laburnumkeel/kernel/digest.h"

namespace laburnumkeel::endpoints {

TransactionIdCodec::TransactionIdCodec(std::string secret)
    : secret(std::move(secret)) {}

std::string TransactionIdCodec::Encode(const TransactionId& id,
                                       const std::string& account) const {
  const std::string payload = kernel::ToBase64Url(id.vm) + "." +
                              kernel::ToBase64Url(id.incarnation) + "." +
                              kernel::ToBase64Url(id.local_id);
  // The first line separates these signatures from those of session tokens,
  // which are made with the same secret, so that neither can pass as the other.
  const std::string signature = kernel::HmacSha256(
      this->secret, "transaction\n" + payload + "\n" + account);
  return payload + "." + kernel::ToBase64Url(signature);
}

std::optional<TransactionId> TransactionIdCodec::Decode(
    const std::string& text) const {
  std::array<std::string, 3> parts;
  std::string_view rest = text;
  for (std::string& part : parts) {
    const std::size_t dot = rest.find('.');
    if (dot == std::string_view::npos) {
      return std::nullopt;
    }
    auto decoded = kernel::FromBase64Url(rest.substr(0, dot));
    if (!decoded.has_value()) {
      return std::nullopt;
    }
    part = std::move(*decoded);
    rest.remove_prefix(dot + 1);
  }
  return TransactionId{parts[0], parts[1], parts[2]};
}

bool TransactionIdCodec::IsIssuedTo(const std::string& text,
                                    const std::string& account) const {
  const auto id = this->Decode(text);
  return id.has_value() &&
         kernel::ConstantTimeEqual(this->Encode(*id, account), text);
}

}  // namespace laburnumkeel::endpoints
