#include "platform/wire_codec.h"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumkeel::platform_adapter {
namespace {

using statements::ErrorCode;
using statements::Statement;
using statements::StatementKind;
using statements::TransactionState;
using Progress = ReplyDecoder::Progress;

class WireCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WireCodecTest);
  CPPUNIT_TEST(DecodesStartup);
  CPPUNIT_TEST(KeepsTheTextOfAStatement);
  CPPUNIT_TEST(RefusesTheProxysOwnId);
  CPPUNIT_TEST(RefusesUnknownStatements);
  CPPUNIT_TEST(RenamesAnExecution);
  CPPUNIT_TEST(PrefixesAReadWithAPosition);
  CPPUNIT_TEST(CollectsAReply);
  CPPUNIT_TEST(UnknownErrorPromisesNothing);
  CPPUNIT_TEST(RefusesLinesOutOfOrder);
  CPPUNIT_TEST(DecodesTheStateOfAnEndpoint);
  CPPUNIT_TEST(RefusesADamagedState);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DecodesStartup() {
    const ClientMessage message = DecodeClientLine("STARTUP lepu270 u3f1");
    CPPUNIT_ASSERT(message == ClientMessage(ClientStartup{"lepu270", "u3f1"}));
  }

  // Guards against a changed text, which an endpoint must never run.
  void KeepsTheTextOfAStatement() {
    const auto statement =
        std::get<Statement>(DecodeClientLine("QUERY 5c WRITE 1a4  two blanks"));
    CPPUNIT_ASSERT(statement.kind == StatementKind::kWrite);
    CPPUNIT_ASSERT_EQUAL(
        std::string("QUERY 5c WRITE 1a4  two blanks\r\n"),
        EncodeQuery(statement.id, statement.text, std::nullopt));
  }

  // Guards against a client that passes a command off as the proxy's.
  void RefusesTheProxysOwnId() {
    CPPUNIT_ASSERT(DecodeClientLine("QUERY - READ 1") ==
                   ClientMessage(MalformedLine{}));
  }

  // Guards against forwarding commands that only the proxy may send.
  void RefusesUnknownStatements() {
    for (const char* text : {"STEPDOWN 4", "WAITLSN 1.2 READ 1", "PAUSE 3",
                             "BEGIN WRITE", "PREPARE s1 MERGE x", "SET", ""}) {
      const auto statement = std::get<Statement>(
          DecodeClientLine(std::string("QUERY 5c ") + text));
      CPPUNIT_ASSERT_MESSAGE(text, statement.kind == StatementKind::kMalformed);
    }
  }

  void RenamesAnExecution() {
    const auto statement =
        std::get<Statement>(DecodeClientLine("QUERY 5c EXECUTE s1 1a4 data"));
    CPPUNIT_ASSERT_EQUAL(std::string("EXECUTE p7 1a4 data"),
                         RenameExecution(statement, "p7"));
  }

  void PrefixesAReadWithAPosition() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("QUERY 5c WAITLSN 3.1207 READ 1a4\r\n"),
        EncodeQuery("5c", "READ 1a4", model::LogPosition{3, 1207}));
  }

  // Guards against an answer that is passed on before it is complete.
  void CollectsAReply() {
    CPPUNIT_ASSERT(this->decoder.Add("DATAROW abc") == Progress::kIncomplete);
    CPPUNIT_ASSERT(this->decoder.Add("COMPLETE 7.1f") == Progress::kIncomplete);
    CPPUNIT_ASSERT(this->decoder.IsMidReply());
    CPPUNIT_ASSERT(this->decoder.Add("READY T 3.9") == Progress::kReply);
    const statements::EndpointReply reply = this->decoder.Take();
    CPPUNIT_ASSERT_EQUAL(std::string("DATAROW abc\r\n"), reply.rows);
    CPPUNIT_ASSERT_EQUAL(std::string("7.1f"), reply.signature.value());
    CPPUNIT_ASSERT(reply.state == TransactionState::kOpen);
    CPPUNIT_ASSERT((reply.position == model::LogPosition{3, 9}));
    CPPUNIT_ASSERT(!this->decoder.IsMidReply());
  }

  // Guards against repeating a statement after a code that may mean it ran.
  void UnknownErrorPromisesNothing() {
    this->decoder.Add("ERROR SOMETHINGNEW text");
    this->decoder.Add("READY I -");
    const statements::EndpointReply reply = this->decoder.Take();
    CPPUNIT_ASSERT(reply.error == ErrorCode::kUnrecognized);
    CPPUNIT_ASSERT(!statements::IsNotRun(reply.error));
  }

  // Guards against taking a crossed answer for the one that is due.
  void RefusesLinesOutOfOrder() {
    this->decoder.Add("COMPLETE 7.1f");
    CPPUNIT_ASSERT(this->decoder.Add("DATAROW late") == Progress::kInvalid);
  }

  void DecodesTheStateOfAnEndpoint() {
    const auto state =
        DecodeEndpointState("DATAROW replica 3 3.1209 4 12 2 17\r\n");
    CPPUNIT_ASSERT(state.has_value());
    CPPUNIT_ASSERT(!state->is_primary);
    CPPUNIT_ASSERT_EQUAL(model::Term{3}, state->term);
    CPPUNIT_ASSERT((state->received == model::LogPosition{3, 1209}));
    CPPUNIT_ASSERT_EQUAL(model::Term{4}, state->paused_term);
    CPPUNIT_ASSERT(state->lag == std::chrono::milliseconds(12));
  }

  // Guards against a promotion that is decided on a position read as 0.
  void RefusesADamagedState() {
    for (const char* rows :
         {"", "DATAROW", "DATAROW leader 3 3.1 0 0 0 0\r\n",
          "DATAROW replica x 3.1 0 0 0 0\r\n",
          "DATAROW replica 3 3 0 0 0 0\r\n", "DATAROW replica 3 3.x 0\r\n"}) {
      CPPUNIT_ASSERT_MESSAGE(rows, !DecodeEndpointState(rows));
    }
  }

 private:
  ReplyDecoder decoder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WireCodecTest);

}  // namespace
}  // namespace laburnumkeel::platform_adapter
