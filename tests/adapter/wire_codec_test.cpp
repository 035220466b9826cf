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
  CPPUNIT_TEST(PreservesTheTextOfAStatement);
  CPPUNIT_TEST(RejectsTheInternalStatementId);
  CPPUNIT_TEST(RejectsUnknownStatements);
  CPPUNIT_TEST(RenamesAnExecution);
  CPPUNIT_TEST(PrefixesAReadWithAPosition);
  CPPUNIT_TEST(CollectsAReply);
  CPPUNIT_TEST(UnknownErrorMayHaveRun);
  CPPUNIT_TEST(RejectsLinesOutOfOrder);
  CPPUNIT_TEST(DecodesTheStateOfAnEndpoint);
  CPPUNIT_TEST(RejectsAMalformedState);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DecodesStartup() {
    const ClientMessage message = DecodeClientLine("STARTUP lepu270 u3f1");
    CPPUNIT_ASSERT(message == ClientMessage(ClientStartup{"lepu270", "u3f1"}));
  }

  // Guards against altering the text of a statement before it is forwarded.
  void PreservesTheTextOfAStatement() {
    const auto statement =
        std::get<Statement>(DecodeClientLine("QUERY 5c WRITE 1a4  two blanks"));
    CPPUNIT_ASSERT(statement.kind == StatementKind::kWrite);
    CPPUNIT_ASSERT_EQUAL(
        std::string("QUERY 5c WRITE 1a4  two blanks\r\n"),
        EncodeQuery(statement.id, statement.text, std::nullopt));
  }

  // Guards against a client statement that poses as an internal statement of
  // the proxy.
  void RejectsTheInternalStatementId() {
    CPPUNIT_ASSERT(DecodeClientLine("QUERY - READ 1") ==
                   ClientMessage(MalformedLine{}));
  }

  // Guards against forwarding commands that only the proxy may send.
  void RejectsUnknownStatements() {
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

  // Guards against forwarding a reply before it is complete.
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

  // Guards against retrying a statement after an unknown error code, since the
  // statement may have run.
  void UnknownErrorMayHaveRun() {
    this->decoder.Add("ERROR SOMETHINGNEW text");
    this->decoder.Add("READY I -");
    const statements::EndpointReply reply = this->decoder.Take();
    CPPUNIT_ASSERT(reply.error == ErrorCode::kUnrecognized);
    CPPUNIT_ASSERT(!statements::IsNotRun(reply.error));
  }

  // Guards against accepting lines of another reply as part of this one.
  void RejectsLinesOutOfOrder() {
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

  // Guards against choosing a promotion target by a log position that was
  // decoded as 0.
  void RejectsAMalformedState() {
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
