#include "programs/laburnumkeel-load/load_generator.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "laburnumkeel/transport/http_client.h"

namespace laburnumkeel::load {

namespace {

using nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kRequestTimeout{10000};
constexpr std::chrono::seconds kMovePeriod{10};

// One request of the schedule.
struct DueRequest {
  double due_s = 0;
  std::size_t account = 0;
  bool within_rate = true;
};

// Session tokens of one account. A token that is taken is not available to
// other requests, so a session has at most one request in flight.
class SessionPool {
 public:
  explicit SessionPool(int count) : tokens(static_cast<std::size_t>(count)) {}

  // Returns an empty string when all sessions are in use or the session is
  // new.
  std::string Take() {
    const std::lock_guard lock(this->mutex);
    if (this->tokens.empty()) {
      return "";
    }
    std::string token = std::move(this->tokens.back());
    this->tokens.pop_back();
    return token;
  }

  void Return(std::string token) {
    const std::lock_guard lock(this->mutex);
    this->tokens.insert(this->tokens.begin(), std::move(token));
  }

 private:
  std::mutex mutex;
  std::vector<std::string> tokens;
};

// Requests of one account at exponentially distributed intervals. `within_rate`
// marks those that one token bucket for the whole fleet would admit.
std::vector<DueRequest> AccountSchedule(const LoadPlan& plan, std::size_t index,
                                        std::mt19937& random) {
  const LoadAccount& account = plan.accounts[index];
  const double total_s =
      static_cast<double>((plan.warm_up + plan.duration).count());
  std::exponential_distribution<double> gap(account.rate * account.factor);
  std::vector<DueRequest> schedule;
  double tokens = account.burst;
  double previous = 0;
  for (double due = gap(random); due < total_s; due += gap(random)) {
    tokens = std::min(account.burst, tokens + (due - previous) * account.rate);
    previous = due;
    const bool within_rate = tokens >= 1;
    tokens -= within_rate ? 1 : 0;
    schedule.push_back(DueRequest{due, index, within_rate});
  }
  return schedule;
}

// One run of the load; the worker threads share its state.
class Run {
 public:
  Run(const LoadPlan& plan, LoadReport& report) : plan(plan), report(report) {
    std::mt19937 random(plan.seed);
    for (std::size_t index = 0; index < plan.accounts.size(); ++index) {
      const auto part = AccountSchedule(plan, index, random);
      this->schedule.insert(this->schedule.end(), part.begin(), part.end());
      this->sessions.push_back(
          std::make_unique<SessionPool>(plan.sessions_for_each_account));
    }
    std::sort(this->schedule.begin(), this->schedule.end(),
              [](const DueRequest& left, const DueRequest& right) {
                return left.due_s < right.due_s;
              });
    for (const std::string& target : plan.targets) {
      this->clients.push_back(std::make_unique<transport::HttpClient>(
          target, transport::ConnectionLimits{}));
    }
  }

  void Execute() {
    this->start = SteadyClock::now();
    std::vector<std::thread> workers;
    for (int worker = 0; worker < this->plan.workers; ++worker) {
      workers.emplace_back([this, worker] {
        this->RunWorker(this->plan.seed + static_cast<unsigned int>(worker) +
                        1);
      });
    }
    for (std::thread& worker : workers) {
      worker.join();
    }
  }

 private:
  void RunWorker(unsigned int seed) {
    std::mt19937 random(seed);
    for (std::size_t index = this->next++; index < this->schedule.size();
         index = this->next++) {
      const DueRequest& due = this->schedule[index];
      std::this_thread::sleep_until(
          this->start + std::chrono::duration_cast<SteadyClock::duration>(
                            std::chrono::duration<double>(due.due_s)));
      this->Send(due, random);
    }
  }

  std::size_t SelectTarget(const DueRequest& due, std::mt19937& random) const {
    switch (this->plan.spread) {
      case Spread::kRoaming:
        return random() % this->clients.size();
      case Spread::kOneVm:
        return due.account % this->clients.size();
      case Spread::kMoving:
        return (due.account +
                static_cast<std::size_t>(due.due_s) /
                    static_cast<std::size_t>(kMovePeriod.count())) %
               this->clients.size();
    }
    return 0;
  }

  void Send(const DueRequest& due, std::mt19937& random) {
    const LoadAccount& account = this->plan.accounts[due.account];
    const std::string group =
        this->plan.groups[random() % this->plan.groups.size()];
    const bool read =
        static_cast<int>(random() % 100) < this->plan.read_percent;
    const std::string row = account.name + "-" + std::to_string(random() % 100);
    const json body = {
        {"group", group},
        {"statement",
         read ? "GET " + row : "PUT " + row + " " + std::to_string(random())}};
    std::string token = this->sessions[due.account]->Take();
    transport::HttpRequest request{
        "POST",
        "/v1/services/" + this->plan.service + (read ? "/read" : "/write"),
        {{"Authorization", "Bearer " + account.key}},
        body.dump(),
        {}};
    if (!token.empty()) {
      request.headers["Laburnumkeel-Session"] = token;
    }
    const auto response = this->clients[this->SelectTarget(due, random)]->Send(
        request, kRequestTimeout);
    Sample sample{
        account.name,
        group,
        read,
        due.within_rate,
        due.due_s,
        std::chrono::duration<double>(SteadyClock::now() - this->start).count(),
        0,
        "",
        "",
        0};
    if (response.has_value()) {
      Fill(response.value(), sample);
      const std::string renewed =
          response.value().Header("Laburnumkeel-Session");
      token = renewed.empty() ? token : renewed;
    }
    // After `session_position_lost` the next request starts a new session, as
    // an application would do.
    this->sessions[due.account]->Return(
        sample.code == "session_position_lost" ? "" : token);
    if (due.due_s >= static_cast<double>(this->plan.warm_up.count())) {
      this->report.Add(sample);
    }
  }

  static void Fill(const transport::HttpResponse& response, Sample& sample) {
    sample.status = response.status;
    const json body = json::parse(response.body, nullptr, false);
    if (body.is_discarded()) {
      sample.code = "malformed_response";
      return;
    }
    const json error = body.value("error", json::object());
    sample.code = error.value("code", "");
    const json served_by = body.value("served_by", json::object());
    sample.role = served_by.value("role", "");
    sample.term = served_by.value("term", std::uint64_t{0});
  }

  const LoadPlan& plan;
  LoadReport& report;
  std::vector<DueRequest> schedule;
  std::vector<std::unique_ptr<SessionPool>> sessions;
  std::vector<std::unique_ptr<transport::HttpClient>> clients;
  std::atomic<std::size_t> next = 0;
  SteadyClock::time_point start;
};

}  // namespace

void RunLoad(const LoadPlan& plan, LoadReport& report) {
  Run(plan, report).Execute();
}

}  // namespace laburnumkeel::load
