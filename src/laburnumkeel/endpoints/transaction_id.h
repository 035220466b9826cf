#ifndef LABURNUMKEEL_ENDPOINTS_TRANSACTION_ID_H_
#define LABURNUMKEEL_ENDPOINTS_TRANSACTION_ID_H_

#include <optional>
#include <string>

namespace laburnumkeel::endpoints {

// Which transaction of which process an id names.
struct TransactionId {
  std::string vm;
  // Identifier of the entry process that began the transaction.
  std::string incarnation;
  // Random, so that ids cannot be guessed.
  std::string number;

  bool operator==(const TransactionId&) const = default;
};

// Text form `<vm>.<incarnation>.<number>.<signature>`, each part base64url. The
// signature covers the account and is made with the fleet secret, so every VM
// can tell a real id from a forged one.
class TransactionIdCodec {
 public:
  explicit TransactionIdCodec(std::string secret);

  std::string Encode(const TransactionId& id, const std::string& account) const;

  // The parts without a check of the signature. Empty when malformed.
  std::optional<TransactionId> Decode(const std::string& text) const;

  // True when `text` was issued to `account` by a VM of this fleet.
  bool IsIssuedTo(const std::string& text, const std::string& account) const;

 private:
  std::string secret;
};

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_TRANSACTION_ID_H_
