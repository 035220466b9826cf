// Datagrams about the connections to one endpoint, between a VM and the VM that
// keeps the ledger of them.
namespace cpp laburnumkeel.peer.generated

struct WireConnectionReport {
  1: string vm,
  2: string endpoint,
  3: i64 sequence,
  4: i32 held,
  5: i32 wanted,
  6: i32 priority,
  7: i32 time_left_ms,
  // The endpoint has refused a connection over its limit.
  8: bool refused,
}

struct WireConnectionAnswer {
  1: string endpoint,
  // Of the report.
  2: i64 sequence,
  3: i32 allowed,
  4: i32 wait_ms,
  5: i32 idle_ms,
}
