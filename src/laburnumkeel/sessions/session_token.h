#ifndef LABURNUMKEEL_SESSIONS_SESSION_TOKEN_H_
#define LABURNUMKEEL_SESSIONS_SESSION_TOKEN_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "laburnumkeel/kernel/result.h"
#include "laburnumkeel/sessions/session.h"

namespace laburnumkeel::sessions {

enum class SessionTokenError {
  // Not a token of a known version: not base64url, too short or too long.
  kMalformed,
  // The signature is not of this fleet.
  kForged,
  // Issued to another client account.
  kOtherAccount,
  // The session does not fit into a token. Only when encoding.
  kTooLarge,
};

// `malformed`, `forged`, `other_account` or `too_large`.
std::string_view ToString(SessionTokenError error);

// Longest token in characters. HTTP servers commonly refuse headers above
// 8 KiB.
inline constexpr std::size_t kMaximumTokenLength = 6144;

// Turns sessions into signed tokens and back. The token shows the account and
// the positions to its holder; it contains neither a key nor the secret.
class SessionTokenCodec {
 public:
  // `fleet_secret` is the same on all VMs of a fleet and must not be empty.
  explicit SessionTokenCodec(std::string fleet_secret);

  // Fails with `kTooLarge` only.
  kernel::Result<std::string, SessionTokenError> Encode(
      const Session& session) const;

  // Fails unless the token is unchanged and was issued to `account`. The
  // signature is checked before any of the content is read.
  kernel::Result<Session, SessionTokenError> Decode(
      std::string_view token, const std::string& account) const;

 private:
  std::string Signature(std::string_view content) const;

  std::string fleet_secret;
};

}  // namespace laburnumkeel::sessions

#endif  // LABURNUMKEEL_SESSIONS_SESSION_TOKEN_H_
