#include "standins/standin-endpoint/replicated_log.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace laburnumkeel::standins {
namespace {

using model::LogPosition;
using model::TermStart;

LogEntry Entry(model::Term term) { return LogEntry{term, {}, "", ""}; }

ReplicatedLog LogOf(const std::vector<model::Term>& terms) {
  ReplicatedLog log;
  for (const model::Term term : terms) {
    log.Append(Entry(term));
  }
  return log;
}

class ReplicatedLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicatedLogTest);
  CPPUNIT_TEST(ReplacesDivergedTail);
  CPPUNIT_TEST(RefusesGapAndOtherPreviousTerm);
  CPPUNIT_TEST(KeepsNewerEntriesAfterLateRequest);
  CPPUNIT_TEST(ReportsWhereTermsBegan);
  CPPUNIT_TEST(AcceptedMergeMakesPrefixesEqual);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a former primary that keeps entries the new one lacks.
  void ReplacesDivergedTail() {
    ReplicatedLog log = LogOf({1, 1, 1, 1});
    const auto kept = log.Merge(LogPosition{1, 2}, {Entry(2)});
    CPPUNIT_ASSERT(kept == 2U);
    CPPUNIT_ASSERT(log.End() == (LogPosition{2, 3}));
  }

  // Guards against a log whose earlier entries differ from the primary's.
  void RefusesGapAndOtherPreviousTerm() {
    ReplicatedLog log = LogOf({1, 1});
    CPPUNIT_ASSERT(!log.Merge(LogPosition{1, 3}, {Entry(1)}).has_value());
    CPPUNIT_ASSERT(!log.Merge(LogPosition{2, 2}, {Entry(2)}).has_value());
    CPPUNIT_ASSERT(log.End() == (LogPosition{1, 2}));
  }

  // Guards against confirmed entries that are lost when an older request of
  // the same primary arrives late.
  void KeepsNewerEntriesAfterLateRequest() {
    ReplicatedLog log = LogOf({1, 1, 1});
    CPPUNIT_ASSERT(log.Merge(LogPosition{0, 0}, {Entry(1)}) == 3U);
    CPPUNIT_ASSERT(log.Merge(LogPosition{1, 1}, {}) == 3U);
    CPPUNIT_ASSERT(log.End() == (LogPosition{1, 3}));
  }

  // Guards against a session that takes a lost write for a contained one.
  void ReportsWhereTermsBegan() {
    const std::vector<TermStart> expected{{1, 0}, {3, 2}, {4, 3}};
    CPPUNIT_ASSERT(LogOf({1, 1, 3, 4, 4}).TermStarts() == expected);
    CPPUNIT_ASSERT(LogOf({}).TermStarts().empty());
  }

  // Guards against any other way in which an accepted request leaves the logs
  // different: two primaries write after a common prefix, in their own terms.
  void AcceptedMergeMakesPrefixesEqual() {
    CPPUNIT_ASSERT(rc::check([] {
      const auto common = *rc::gen::inRange<std::size_t>(0, 6);
      std::vector<model::Term> primary(common, 1);
      std::vector<model::Term> member(common, 1);
      member.resize(common + *rc::gen::inRange<std::size_t>(0, 6), 2);
      primary.resize(common + *rc::gen::inRange<std::size_t>(0, 6), 3);
      const ReplicatedLog source = LogOf(primary);
      ReplicatedLog target = LogOf(member);
      const auto from = *rc::gen::inRange<std::size_t>(0, primary.size() + 1);
      const auto count = *rc::gen::inRange<std::size_t>(0, 8);
      const auto entries = source.After(from, count);
      const auto kept =
          target.Merge(LogPosition{source.TermAt(from), from}, entries);
      RC_ASSERT(kept.has_value() == (from <= common));
      for (std::uint64_t position = 1;
           kept.has_value() && position <= from + entries.size(); ++position) {
        RC_ASSERT(target.TermAt(position) == source.TermAt(position));
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicatedLogTest);

}  // namespace
}  // namespace laburnumkeel::standins
