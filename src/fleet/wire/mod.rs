//! JSON forms of the records stored in the platform's key-value service.

mod audit;
mod ledger;
mod record;
mod roster;

pub use audit::AuditWire;
pub use audit::OutboxWire;
pub use ledger::LedgerRowWire;
pub use ledger::LedgerWire;
pub use record::FleetWire;
pub use record::StateWire;
pub use record::VmWire;
pub use record::WaveProgressWire;
pub use roster::EntryWire;
pub use roster::RosterWire;
