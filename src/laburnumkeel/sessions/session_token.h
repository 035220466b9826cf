#ifndef LABURNUMKEEL_SESSIONS_SESSION_TOKEN_H_
#define LABURNUMKEEL_SESSIONS_SESSION_TOKEN_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "laburnumkeel/kernel/result.h"
#include "laburnumkeel/sessions/session.h"

namespace laburnumkeel::sessions {

enum class SessionTokenError {
  // Not base64url, too short, too long, or not of a known version.
  kMalformed,
  // The signature was not made with the secret of this fleet.
  kForged,
  // Issued to another client account.
  kOtherAccount,
  // The session does not fit into a token; only returned when encoding.
  kTooLarge,
};

// `malformed`, `forged`, `other_account` or `too_large`.
std::string_view ToString(SessionTokenError error);

// Longest token in characters. HTTP servers commonly refuse headers above
// 8 KiB.
inline constexpr std::size_t kMaximumTokenLength = 6144;

// Encodes sessions as signed tokens and decodes them. Whoever has a token can
// read the account and the positions in it; it contains neither a key nor the
// secret.
class SessionTokenCodec {
 public:
  // `fleet_secret` is the same on all VMs of a fleet and must not be empty.
  explicit SessionTokenCodec(std::string fleet_secret);

  // Fails with `kTooLarge` only.
  kernel::Result<std::string, SessionTokenError> Encode(
      const Session& session) const;

  // Fails unless the token is unmodified and was issued to `account`. The
  // signature is verified before any of the content is parsed.
  kernel::Result<Session, SessionTokenError> Decode(
      std::string_view token, const std::string& account) const;

 private:
  std::string Signature(std::string_view content) const;

  std::string fleet_secret;
};

}  // namespace laburnumkeel::sessions

#endif  // LABURNUMKEEL_SESSIONS_SESSION_TOKEN_H_
