#ifndef LABURNUMKEEL_ENDPOINTS_TRANSACTION_ID_H_
#define LABURNUMKEEL_ENDPOINTS_TRANSACTION_ID_H_

#include <optional>
#include <string>

namespace laburnumkeel::endpoints {

// The parts of a transaction id.
struct TransactionId {
  std::string vm;
  // Identifier of the entry process that began the transaction.
  std::string incarnation;
  // Identifies the transaction within the process. Random, so that ids cannot
  // be guessed.
  std::string local_id;

  bool operator==(const TransactionId&) const = default;
};

// Text form `<vm>.<incarnation>.<number>.<signature>`, each part base64url. The
// signature covers the account and is made with the fleet secret, so that every
// VM can detect forged ids.
class TransactionIdCodec {
 public:
  explicit TransactionIdCodec(std::string secret);

  std::string Encode(const TransactionId& id, const std::string& account) const;

  // Returns the parts without checking the signature; empty if malformed.
  std::optional<TransactionId> Decode(const std::string& text) const;

  // True if `text` was issued to `account` by a VM of this fleet.
  bool IsIssuedTo(const std::string& text, const std::string& account) const;

 private:
  std::string secret;
};

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_TRANSACTION_ID_H_
