#ifndef LABURNUMKEEL_TESTS_SUPPORT_FAKE_GROUP_H_
#define LABURNUMKEEL_TESTS_SUPPORT_FAKE_GROUP_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "laburnumkeel/promotion/group_members.h"

namespace laburnumkeel::testing {

// A log entry; `write` identifies a write and is 0 for a term start.
struct FakeEntry {
  model::Term term = 0;
  std::uint64_t write = 0;

  bool operator==(const FakeEntry&) const = default;
};

// An endpoint in memory that follows the rules of docs/design.md, section 5.
class FakeEndpoint {
 public:
  explicit FakeEndpoint(std::string name) : name(std::move(name)) {}

  model::EndpointStatus Status() const {
    std::vector<model::TermStart> starts;
    for (std::size_t i = 0; i < this->log.size(); ++i) {
      if (i == 0 || this->log[i].term != this->log[i - 1].term) {
        starts.push_back(model::TermStart{this->log[i].term, i});
      }
    }
    return model::EndpointStatus{this->name,
                                 "g",
                                 this->is_primary
                                     ? model::EndpointRole::kPrimary
                                     : model::EndpointRole::kReplica,
                                 this->sealed_term,
                                 this->LogEnd(),
                                 this->applied,
                                 this->staleness_ms,
                                 std::move(starts)};
  }

  bool Seal(model::Term term, const std::string& new_promoter) {
    if (term < this->sealed_term ||
        (term == this->sealed_term && new_promoter != this->promoter)) {
      return false;
    }
    this->sealed_term = term;
    this->promoter = new_promoter;
    return true;
  }

  bool Promote(model::Term term, const std::string& new_promoter) {
    if (term != this->sealed_term || new_promoter != this->promoter) {
      return false;
    }
    if (this->LogEnd().term != term) {
      this->BeginTerm(term);
    }
    return true;
  }

  // Becomes the primary without a preceding seal, for tests of promoters that
  // do not seal.
  void PromoteUnsealed(model::Term term) {
    this->sealed_term = term;
    this->promoter.clear();
    this->BeginTerm(term);
  }

  std::optional<model::LogPosition> Write(model::Term term,
                                          std::uint64_t write) {
    if (!this->IsActivePrimary() || this->draining ||
        this->LogEnd().term != term) {
      return std::nullopt;
    }
    this->log.push_back(FakeEntry{term, write});
    this->applied = this->log.size();
    return this->LogEnd();
  }

  // Sends at most `count` of the entries that `replica` lacks. Its first entry
  // that differs and all later ones are replaced.
  void ReplicateTo(FakeEndpoint& replica, std::size_t count) const {
    if (!this->IsActivePrimary() || this->sealed_term < replica.sealed_term ||
        &replica == this) {
      return;
    }
    if (this->sealed_term > replica.sealed_term) {
      replica.sealed_term = this->sealed_term;
      replica.promoter.clear();
    }
    replica.is_primary = false;
    const auto common = std::mismatch(this->log.begin(), this->log.end(),
                                      replica.log.begin(), replica.log.end());
    const auto first = common.first - this->log.begin();
    const auto last = std::min(first + static_cast<std::ptrdiff_t>(count),
                               static_cast<std::ptrdiff_t>(this->log.size()));
    if (first < last) {
      replica.log.erase(common.second, replica.log.end());
      replica.log.insert(replica.log.end(), this->log.begin() + first,
                         this->log.begin() + last);
    }
    replica.applied =
        std::min<std::uint64_t>(replica.applied, replica.log.size());
  }

  void Apply(std::uint64_t count) {
    this->applied =
        std::min<std::uint64_t>(this->applied + count, this->log.size());
  }

  void Drain() { this->draining = true; }

  // Sets the staleness that a replica reports.
  void SetStaleness(std::int64_t milliseconds) {
    this->staleness_ms = milliseconds;
  }

  // Term of the last applied entry and applied position, as in the response to
  // a read.
  model::LogPosition ReadPosition() const {
    return this->applied == 0
               ? model::LogPosition{}
               : model::LogPosition{this->log[this->applied - 1].term,
                                    this->applied};
  }

  // Whether the entry at this position is visible to reads.
  bool Shows(const model::LogPosition& position) const {
    return position.position == 0 ||
           (position.position <= this->applied &&
            this->log[position.position - 1].term == position.term);
  }

  bool Holds(std::uint64_t write) const {
    return std::any_of(
        this->log.begin(), this->log.end(),
        [&](const FakeEntry& entry) { return entry.write == write; });
  }

  bool IsActivePrimary() const {
    return this->is_primary && this->sealed_term == this->LogEnd().term;
  }

  model::LogPosition LogEnd() const {
    return this->log.empty()
               ? model::LogPosition{}
               : model::LogPosition{this->log.back().term, this->log.size()};
  }

  model::Term SealedTerm() const { return this->sealed_term; }

 private:
  void BeginTerm(model::Term term) {
    this->log.push_back(FakeEntry{term, 0});
    this->applied = this->log.size();
    this->is_primary = true;
    this->draining = false;
  }

  std::string name;
  bool is_primary = false;
  bool draining = false;
  model::Term sealed_term = 0;
  std::string promoter;
  std::vector<FakeEntry> log;
  std::uint64_t applied = 0;
  std::int64_t staleness_ms = 0;
};

// A group of endpoints a, b and c in memory. Copies are connections to the same
// endpoints; each copy has its own simulated faults.
class FakeGroup {
 public:
  using Failure = promotion::PromotionError;

  FakeGroup() {
    for (const std::string& name : Names()) {
      this->endpoints->emplace(name, FakeEndpoint(name));
    }
  }

  static std::vector<std::string> Names() { return {"a", "b", "c"}; }

  FakeEndpoint& At(const std::string& name) {
    return this->endpoints->at(name);
  }

  // While cut, calls over this connection to the endpoint fail before they take
  // effect.
  void SetCut(const std::string& name, bool is_cut) {
    if (is_cut) {
      this->cut.insert(name);
    } else {
      this->cut.erase(name);
    }
  }
  bool IsCut(const std::string& name) const {
    return this->cut.count(name) != 0;
  }

  // The responses to the next calls are lost after the calls took effect.
  void LoseResponses(int count) { this->lost_responses = count; }

  kernel::Result<model::EndpointStatus, Failure> Status(
      const std::string& name) {
    return this->Call<model::EndpointStatus>(
        name, [](FakeEndpoint& endpoint) { return endpoint.Status(); });
  }

  kernel::Result<promotion::MemberReply, Failure> Seal(
      const std::string& name, model::Term term, const std::string& promoter) {
    return this->Call<promotion::MemberReply>(
        name, [&](FakeEndpoint& endpoint) {
          const bool accepted = endpoint.Seal(term, promoter);
          return promotion::MemberReply{accepted, endpoint.Status()};
        });
  }

  kernel::Result<promotion::MemberReply, Failure> Promote(
      const std::string& name, model::Term term, const std::string& promoter) {
    return this->Call<promotion::MemberReply>(
        name, [&](FakeEndpoint& endpoint) {
          const bool accepted = endpoint.Promote(term, promoter);
          return promotion::MemberReply{accepted, endpoint.Status()};
        });
  }

  kernel::Result<model::EndpointStatus, Failure> Drain(
      const std::string& name, std::chrono::milliseconds /*period*/) {
    return this->Call<model::EndpointStatus>(name, [](FakeEndpoint& endpoint) {
      endpoint.Drain();
      return endpoint.Status();
    });
  }

  // The endpoint that is the primary of the highest term; null when there is
  // none.
  FakeEndpoint* NewestPrimary() {
    FakeEndpoint* newest = nullptr;
    for (auto& [name, endpoint] : *this->endpoints) {
      const bool is_primary =
          endpoint.Status().role == model::EndpointRole::kPrimary;
      if (is_primary && (newest == nullptr ||
                         endpoint.LogEnd().term > newest->LogEnd().term)) {
        newest = &endpoint;
      }
    }
    return newest;
  }

  // Highest term that a majority has sealed.
  model::Term MajoritySealedTerm() const {
    std::vector<model::Term> terms;
    for (const auto& [name, endpoint] : *this->endpoints) {
      terms.push_back(endpoint.SealedTerm());
    }
    std::sort(terms.begin(), terms.end());
    return terms[(terms.size() - 1) / 2];
  }

 private:
  template <class Value, class Operation>
  kernel::Result<Value, Failure> Call(const std::string& name,
                                      Operation operation) {
    if (this->IsCut(name)) {
      return Failure{promotion::PromotionFailure::kNoResponse, "cut", 0};
    }
    const Value value = operation(this->At(name));
    if (this->lost_responses > 0) {
      --this->lost_responses;
      return Failure{promotion::PromotionFailure::kNoResponse, "lost", 0};
    }
    return value;
  }

  std::shared_ptr<std::map<std::string, FakeEndpoint>> endpoints =
      std::make_shared<std::map<std::string, FakeEndpoint>>();
  std::set<std::string> cut;
  int lost_responses = 0;
};

static_assert(promotion::GroupMembers<FakeGroup>);

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_SUPPORT_FAKE_GROUP_H_
