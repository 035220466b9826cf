#include "laburnumkeel/sessions/session_token.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "laburnumkeel/kernel/digest.h"

namespace laburnumkeel::sessions {
namespace {

using model::LogPosition;

Session AnySession() {
  const auto groups =
      *rc::gen::container<std::map<std::string, GroupState>>(
          rc::gen::arbitrary<std::string>(),
          rc::gen::apply(
              [](std::uint64_t term, std::uint64_t position, bool is_unsettled,
                 std::int64_t until) {
                return GroupState{
                    LogPosition{term, position},
                    is_unsettled ? std::optional(until) : std::nullopt};
              },
              rc::gen::arbitrary<std::uint64_t>(),
              rc::gen::arbitrary<std::uint64_t>(), rc::gen::arbitrary<bool>(),
              rc::gen::arbitrary<std::int64_t>()));
  return Session(*rc::gen::arbitrary<std::string>(), groups);
}

class SessionTokenTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionTokenTest);
  CPPUNIT_TEST(RoundTrips);
  CPPUNIT_TEST(RefusesAnyChangedByte);
  CPPUNIT_TEST(RefusesAnyTruncationOrExtension);
  CPPUNIT_TEST(RefusesOtherAccountsAndFleets);
  CPPUNIT_TEST(RefusesAnotherVersion);
  CPPUNIT_TEST(BoundsTheSize);
  CPPUNIT_TEST(ContainsNoSecret);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a field that is encoded but not decoded, or the reverse.
  void RoundTrips() {
    CPPUNIT_ASSERT(rc::check([this] {
      const Session session = AnySession();
      const auto token = this->codec.Encode(session);
      RC_PRE(token.has_value());
      const auto decoded = this->codec.Decode(token.value(), session.Account());
      RC_ASSERT(decoded.has_value());
      RC_ASSERT(decoded.value() == session);
    }));
  }

  // Guards against a caller that modifies the positions or the account.
  void RefusesAnyChangedByte() {
    CPPUNIT_ASSERT(rc::check([this] {
      const Session session = AnySession();
      const auto encoded = this->codec.Encode(session);
      RC_PRE(encoded.has_value());
      std::string token = encoded.value();
      const auto place = *rc::gen::inRange<std::size_t>(0, token.size());
      const char replacement = *rc::gen::arbitrary<char>();
      RC_PRE(token[place] != replacement);
      token[place] = replacement;
      RC_ASSERT(!this->codec.Decode(token, session.Account()).has_value());
    }));
  }

  // Guards against a token that an HTTP proxy truncated, and against an
  // extended one.
  void RefusesAnyTruncationOrExtension() {
    CPPUNIT_ASSERT(rc::check([this] {
      const Session session = AnySession();
      const auto encoded = this->codec.Encode(session);
      RC_PRE(encoded.has_value());
      const std::string& token = encoded.value();
      for (std::size_t size = 0; size < token.size(); ++size) {
        RC_ASSERT(!this->codec.Decode(token.substr(0, size), session.Account())
                       .has_value());
      }
      const auto extra = *rc::gen::nonEmpty<std::string>();
      RC_ASSERT(
          !this->codec.Decode(token + extra, session.Account()).has_value());
    }));
  }

  // Guards against a session that another account uses, and against reporting
  // that as a forgery.
  void RefusesOtherAccountsAndFleets() {
    const std::string token = this->codec.Encode(this->session).value();
    CPPUNIT_ASSERT(this->codec.Decode(token, "b").error() ==
                   SessionTokenError::kOtherAccount);
    CPPUNIT_ASSERT(SessionTokenCodec("other").Decode(token, "a").error() ==
                   SessionTokenError::kForged);
    CPPUNIT_ASSERT(this->codec.Decode("no token!", "a").error() ==
                   SessionTokenError::kMalformed);
  }

  // Guards against decoding a later format as this one.
  void RefusesAnotherVersion() {
    const std::string content = "\x02" + std::string("\x01") + "a" + '\0';
    const std::string signature = kernel::HmacSha256(
        "secret", std::string("laburnumkeel session token") + '\0' + content);
    CPPUNIT_ASSERT(
        this->codec.Decode(kernel::ToBase64Url(content + signature), "a")
            .error() == SessionTokenError::kMalformed);
  }

  // Guards against tokens that an HTTP server refuses because the header is too
  // large, and against the cost of decoding a huge header.
  void BoundsTheSize() {
    std::map<std::string, GroupState> groups;
    for (int group = 0; group < 200; ++group) {
      groups[std::to_string(group)] = GroupState{};
    }
    CPPUNIT_ASSERT(this->codec.Encode(Session("a", groups)).error() ==
                   SessionTokenError::kTooLarge);
    CPPUNIT_ASSERT(this->codec.Encode(Session(std::string(256, 'a'))).error() ==
                   SessionTokenError::kTooLarge);
    CPPUNIT_ASSERT(
        this->codec.Decode(std::string(kMaximumTokenLength + 4, 'A'), "a")
            .error() == SessionTokenError::kMalformed);
  }

  // Guards against disclosing the fleet secret to callers.
  void ContainsNoSecret() {
    const std::string token = this->codec.Encode(this->session).value();
    const std::string bytes = *kernel::FromBase64Url(token);
    CPPUNIT_ASSERT(bytes.find("secret") == std::string::npos);
    CPPUNIT_ASSERT(bytes.find(kernel::ToHexadecimal("secret")) ==
                   std::string::npos);
  }

 private:
  Session session{"a", {{"g", GroupState{LogPosition{4, 90}, 5}}}};
  SessionTokenCodec codec{"secret"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionTokenTest);

}  // namespace
}  // namespace laburnumkeel::sessions
