#include "laburnumkeel/sessions/session_token.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "laburnumkeel/kernel/digest.h"
#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/sessions/byte_reader.h"
#include "laburnumkeel/sessions/byte_writer.h"
#include "laburnumkeel/sessions/events.h"

namespace laburnumkeel::sessions {

namespace {

constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kSignatureLength = 32;
constexpr std::size_t kMaximumNameLength = 255;
constexpr std::size_t kMaximumGroups = 255;
// Domain separation: a signature made with the same secret for another purpose
// must not be accepted as the signature of a token.
constexpr std::string_view kPurpose = "laburnumkeel session token";

bool Fits(const Session& session) {
  if (session.Account().size() > kMaximumNameLength ||
      session.Groups().size() > kMaximumGroups) {
    return false;
  }
  for (const auto& [group, state] : session.Groups()) {
    if (group.size() > kMaximumNameLength) {
      return false;
    }
  }
  return true;
}

std::string EncodeContent(const Session& session) {
  ByteWriter writer;
  writer.WriteByte(kVersion);
  writer.WriteText(session.Account());
  writer.WriteByte(static_cast<std::uint8_t>(session.Groups().size()));
  for (const auto& [group, state] : session.Groups()) {
    writer.WriteText(group);
    writer.WriteNumber(state.position.term);
    writer.WriteNumber(state.position.position);
    writer.WriteByte(state.unsettled_until_ms.has_value() ? 1 : 0);
    writer.WriteNumber(
        static_cast<std::uint64_t>(state.unsettled_until_ms.value_or(0)));
  }
  return writer.Bytes();
}

std::optional<Session> DecodeContent(std::string_view content) {
  ByteReader reader(content);
  if (reader.ReadByte() != kVersion) {
    return std::nullopt;
  }
  std::string account = reader.ReadText();
  const std::size_t count = reader.ReadByte();
  std::map<std::string, GroupState> groups;
  for (std::size_t index = 0; index < count; ++index) {
    std::string group = reader.ReadText();
    const model::Term term = reader.ReadNumber();
    const std::uint64_t position = reader.ReadNumber();
    const bool is_unsettled = reader.ReadByte() == 1;
    const auto until = static_cast<std::int64_t>(reader.ReadNumber());
    groups[std::move(group)] = GroupState{
        model::LogPosition{term, position},
        is_unsettled ? std::optional<std::int64_t>(until) : std::nullopt};
  }
  if (!reader.IsComplete()) {
    return std::nullopt;
  }
  return Session(std::move(account), std::move(groups));
}

SessionTokenError LogRefusal(SessionTokenError error,
                             const std::string& account) {
  kernel::LogEvent(kTokenRefused,
                   {{"account", account}, {"reason", ToString(error)}});
  return error;
}

}  // namespace

std::string_view ToString(SessionTokenError error) {
  switch (error) {
    case SessionTokenError::kMalformed:
      return "malformed";
    case SessionTokenError::kForged:
      return "forged";
    case SessionTokenError::kOtherAccount:
      return "other_account";
    case SessionTokenError::kTooLarge:
      return "too_large";
  }
  return "malformed";
}

SessionTokenCodec::SessionTokenCodec(std::string fleet_secret)
    : fleet_secret(std::move(fleet_secret)) {}

kernel::Result<std::string, SessionTokenError> SessionTokenCodec::Encode(
    const Session& session) const {
  if (!Fits(session)) {
    return SessionTokenError::kTooLarge;
  }
  const std::string content = EncodeContent(session);
  std::string token = kernel::ToBase64Url(content + this->Signature(content));
  if (token.size() > kMaximumTokenLength) {
    return SessionTokenError::kTooLarge;
  }
  return token;
}

kernel::Result<Session, SessionTokenError> SessionTokenCodec::Decode(
    std::string_view token, const std::string& account) const {
  if (token.size() > kMaximumTokenLength) {
    return LogRefusal(SessionTokenError::kMalformed, account);
  }
  const auto bytes = kernel::FromBase64Url(token);
  if (!bytes.has_value() || bytes->size() <= kSignatureLength) {
    return LogRefusal(SessionTokenError::kMalformed, account);
  }
  const std::string_view all = *bytes;
  const std::string_view content = all.substr(0, all.size() - kSignatureLength);
  const std::string_view signature = all.substr(content.size());
  if (!kernel::ConstantTimeEqual(signature, this->Signature(content))) {
    return LogRefusal(SessionTokenError::kForged, account);
  }
  const std::optional<Session> session = DecodeContent(content);
  if (!session.has_value()) {
    return LogRefusal(SessionTokenError::kMalformed, account);
  }
  if (session->Account() != account) {
    return LogRefusal(SessionTokenError::kOtherAccount, account);
  }
  return *session;
}

std::string SessionTokenCodec::Signature(std::string_view content) const {
  std::string message(kPurpose);
  message += '\0';
  message += content;
  return kernel::HmacSha256(this->fleet_secret, message);
}

}  // namespace laburnumkeel::sessions
