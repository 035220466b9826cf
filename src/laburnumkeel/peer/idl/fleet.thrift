// Datagrams between the proxy programs of a fleet.
namespace cpp laburnumkeel.peer.generated

// What a VM needs and holds of an account's limit.
struct WireAccountReport {
  1: string account,
  // Operations a second that clients ask for, in thousandths, as all amounts
  // in this file: integers of this size take two or three bytes.
  2: i32 demand,
  3: i32 held_rate,
  4: i32 held_burst,
  // Single operations that wait for a grant.
  5: i32 wanted,
}

// A position up to which commits of a service may have been acknowledged.
struct WireCommitted {
  1: string database_service,
  2: i64 term,
  3: i64 position,
}

// What a VM saw of an endpoint since its last full report: attempts in
// thousandths, the others summed over them, in milliseconds.
struct WireEndpointLoad {
  1: string endpoint,
  2: i32 attempts,
  3: i32 excess_ms,
  4: i32 loss_ms,
}

// Statements that databases began to run for a process, cumulative.
struct WireUsagePart {
  // VM of the process; empty for the sender.
  1: string vm,
  2: i64 incarnation,
  3: i64 window,
  // By account.
  4: map<string, i64> counts,
}

struct WireReport {
  1: string vm,
  3: i64 sequence,
  // Version of the newest published primary that the VM knows.
  4: i64 primaries_version,
  // Those with clients; in a brief report, those with waiting operations.
  5: list<WireAccountReport> accounts,
  // Only grants of operations and proofs of primaries are asked for.
  6: bool brief,
  // The VM stops and uses none of its shares any more.
  7: bool leaving,
  // For services whose primary is being changed.
  8: list<WireCommitted> committed,
  // Endpoints that received statements since the last full report.
  25: list<WireEndpointLoad> loads,
  // The ring of delegates that the VM follows.
  13: i64 delegates_revision,
  // The VM can act as a delegate.
  14: bool can_delegate,
  15: string data_centre,
  // The following are only in complete reports of a fleet that reports usage.
  // Counts that the holder has not confirmed.
  9: optional list<WireUsagePart> usage,
  // Time of day of the VM, in milliseconds since the start of 1970.
  10: optional i64 unix_ms,
  // Process of the VM.
  11: optional i64 incarnation,
  // Newest window that the VM knows to be settled.
  12: optional i64 usage_settled,
}

struct WireAccountGrant {
  1: string account,
  2: i32 rate,
  3: i32 burst,
  // Single operations granted beside the share.
  4: i32 operations,
  // Those that were not granted may be with the next report.
  5: bool more_soon,
}

struct WirePrimary {
  1: string database_service,
  2: string endpoint,
  3: i64 term,
  4: bool changing,
  5: i64 version,
  6: bool lost,
  7: i64 committed_term,
  8: i64 committed_position,
}

// A position of a primary's log and how old the question was that it answers.
struct WirePosition {
  1: string database_service,
  2: i64 term,
  3: i64 position,
  4: i64 age_us,
}

// A replica that is noticeably behind.
struct WireLag {
  1: string endpoint,
  2: i32 lag_ms,
}

// An endpoint at which statements take noticeably longer, by what all VMs saw;
// means of an attempt.
struct WireEndpointDelay {
  1: string endpoint,
  2: i32 excess_ms,
  3: i32 loss_ms,
}

struct WireDelegateVm {
  1: string vm,
  2: string address,
  3: string data_centre,
}

// The VMs that hold the accounts' limits in a large fleet.
struct WireDelegates {
  1: i64 revision,
  2: bool settled,
  3: list<WireDelegateVm> members,
  4: list<WireDelegateVm> joining,
  5: list<string> retired,
}

struct WireAnswer {
  // Of the report; 0 when the answer was not asked for.
  1: i64 sequence,
  2: i64 token,
  // All primaries up to this version are known to the holder, and none has
  // changed since.
  3: i64 primaries_version,
  // Those that the VM does not know yet.
  4: list<WirePrimary> primaries,
  5: list<WirePosition> positions,
  6: list<WireAccountGrant> accounts,
  // Newest versions at which operators' and endpoints' rows changed, and the
  // age of the holder's last reading of each.
  7: i64 operator_version,
  8: i64 operator_age_us,
  9: i64 endpoint_version,
  10: i64 endpoint_age_us,
  11: i32 vm_count,
  12: list<WireLag> lags,
  // In an announcement: where the holder takes reports.
  13: string holder,
  14: string holder_address,
  // In an announcement: the holder has given up its lease.
  15: bool released,
  // True time by the holder's estimate, in milliseconds since the start of
  // 1970; in answers to complete reports of a fleet that reports usage.
  16: optional i64 unix_ms,
  // Newest window whose usage is settled.
  17: optional i64 usage_settled,
  32: list<WireEndpointDelay> delays,
  // The ring of delegates in force.
  20: i64 delegates_revision,
  // Sent to a VM that follows another one.
  21: optional WireDelegates delegates,
}

// Operations of an account that a VM needs.
struct WireNeed {
  1: string account,
  2: i32 operations,
}

// A VM's request to a delegate.
struct WireOperationRequest {
  1: i64 sequence,
  2: list<WireNeed> needs,
}

struct WireOperationGrant {
  1: string account,
  2: i32 operations,
  // Without an operation: when there is one again.
  3: i32 retry_after_ms,
}

struct WireOperationAnswer {
  1: i64 sequence,
  2: list<WireOperationGrant> grants,
}
