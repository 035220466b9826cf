#ifndef LABURNUMKEEL_TESTS_PROMOTION_STEPWISE_MEMBERS_H_
#define LABURNUMKEEL_TESTS_PROMOTION_STEPWISE_MEMBERS_H_

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tests/support/fake_group.h"

namespace laburnumkeel::testing {

using MemberResult =
    kernel::Result<promotion::MemberReply, promotion::PromotionError>;

// Thrown by the call at which a promoter is paused.
struct PromoterPaused {};

// Members for a promoter that runs one call at a time, so that a test can
// interleave several promoters. The promoter is run from the start for each
// step: calls of earlier steps return their recorded replies, one new call is
// made and the next one throws `PromoterPaused`.
class StepwiseMembers {
 public:
  explicit StepwiseMembers(FakeGroup connection)
      : connection(std::move(connection)) {}

  // Begins a step.
  void Rewind() {
    this->cursor = 0;
    this->may_call = true;
  }

  FakeGroup& Connection() { return this->connection; }

  kernel::Result<model::EndpointStatus, promotion::PromotionError> Status(
      const std::string& name) {
    const MemberResult result =
        this->Replay([&] { return this->StatusReply(name); });
    if (!result.has_value()) {
      return result.error();
    }
    return result.value().status;
  }

  MemberResult Seal(const std::string& name, model::Term term,
                    const std::string& promoter) {
    return this->Replay(
        [&] { return this->connection.Seal(name, term, promoter); });
  }

  MemberResult Promote(const std::string& name, model::Term term,
                       const std::string& promoter) {
    return this->Replay(
        [&] { return this->connection.Promote(name, term, promoter); });
  }

  // Promotes without a seal.
  MemberResult PromoteWithoutSeal(const std::string& name, model::Term term) {
    return this->Replay([&] {
      MemberResult reply = this->StatusReply(name);
      if (reply.has_value()) {
        this->connection.At(name).PromoteUnsealed(term);
      }
      return reply;
    });
  }

  kernel::Result<model::EndpointStatus, promotion::PromotionError> Drain(
      const std::string& name, std::chrono::milliseconds /*period*/) {
    return this->Status(name);
  }

 private:
  MemberResult StatusReply(const std::string& name) {
    const auto status = this->connection.Status(name);
    if (!status.has_value()) {
      return status.error();
    }
    return promotion::MemberReply{true, status.value()};
  }

  template <class Call>
  MemberResult Replay(Call call) {
    if (this->cursor == this->replies.size()) {
      if (!std::exchange(this->may_call, false)) {
        throw PromoterPaused();
      }
      this->replies.push_back(call());
    }
    return this->replies[this->cursor++];
  }

  FakeGroup connection;
  std::vector<MemberResult> replies;
  std::size_t cursor = 0;
  bool may_call = true;
};

// A `StepwiseMembers` that a promoter takes by value.
class StepwiseMembersHandle {
 public:
  explicit StepwiseMembersHandle(std::shared_ptr<StepwiseMembers> members)
      : members(std::move(members)) {}

  auto Status(const std::string& name) { return this->members->Status(name); }
  auto Seal(const std::string& name, model::Term term,
            const std::string& promoter) {
    return this->members->Seal(name, term, promoter);
  }
  auto Promote(const std::string& name, model::Term term,
               const std::string& promoter) {
    return this->members->Promote(name, term, promoter);
  }
  auto Drain(const std::string& name, std::chrono::milliseconds period) {
    return this->members->Drain(name, period);
  }

 private:
  std::shared_ptr<StepwiseMembers> members;
};

static_assert(promotion::GroupMembers<StepwiseMembersHandle>);

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_PROMOTION_STEPWISE_MEMBERS_H_
