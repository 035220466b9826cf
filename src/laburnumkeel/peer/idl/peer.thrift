// Calls between laburnumkeel processes.
namespace cpp laburnumkeel.peer.generated

// What a control program knows about a VM and passes on.
struct Contact {
  1: string data_centre,
  // Age of the newest sign of life from that data centre, in milliseconds.
  2: i64 age_ms,
  // True when a VM of that data centre has reached the store within that age.
  3: bool reaches_store,
}

struct PeerState {
  1: string vm,
  2: string incarnation,
  3: string data_centre,
  4: i64 configuration_version,
  // Age of the proof that this is the newest version, in milliseconds;
  // negative when there is none.
  5: i64 proof_age_ms,
  6: bool reaches_store,
  7: list<Contact> contacts,
  8: bool leaving,
  // `IP:port` at which the VM answers its peers.
  9: string control_address,
}

struct ConfigurationCopy {
  1: i64 version,
  2: string document,
  3: i64 proof_age_ms,
}

// Between control programs.
service ControlPeer {
  PeerState exchange(1: PeerState state),
  oneway void signalVersion(1: i64 version, 2: string from_address),
  // The newest configuration held; version 0 when there is none.
  ConfigurationCopy fetchConfiguration(1: i64 minimum_version),
}

struct AccountDemand {
  1: string account,
  // Requests a second that callers asked for, refused ones included.
  2: double demand_per_second,
}

struct EntryReport {
  1: string entry_incarnation,
  2: i64 known_configuration_version,
  3: list<AccountDemand> demands,
  // The offer of shares that the entry program uses and the control program's
  // incarnation that made it.
  4: i64 applied_offer,
  5: string control_incarnation,
  // Last report of an entry program that leaves: it has dropped all shares.
  6: bool ended,
}

struct Share {
  1: string account,
  2: double rate,
  3: double burst,
  // Remaining lifetime when the response was made, in milliseconds.
  4: i64 lifetime_ms,
  // A reserve share, which stays valid through a store outage.
  5: bool reserve,
}

struct EntryInstructions {
  // Empty document when the entry program has the newest version.
  1: ConfigurationCopy configuration,
  // The complete shares of the VM: up to one dynamic and one reserve share for
  // an account.
  2: list<Share> shares,
  3: bool may_serve_keyed_requests,
  // Time for which the VM has been without proof, in milliseconds.
  4: i64 isolated_ms,
  5: bool draining,
  // Number of the offer that `shares` is, from 1.
  6: i64 offer,
  7: string control_incarnation,
}

struct SubmitResult {
  // accepted | conflict | invalid | store_unavailable | unknown
  1: string result,
  2: i64 version,
  3: list<string> faults,
}

struct VmStatus {
  1: string vm,
  2: string data_centre,
  3: i64 age_ms,
  4: i64 configuration_version,
  5: bool reaches_store,
}

// For the entry and administration programs of the same VM.
service LocalControl {
  EntryInstructions sync(1: EntryReport report),
  SubmitResult submitConfiguration(1: string document, 2: i64 base_version,
                                   3: string operation_id),
  ConfigurationCopy currentConfiguration(),
  list<VmStatus> fleetStatus(),
}
