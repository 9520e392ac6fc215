//! JSON forms of rosters.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::EntryRecord;
use crate::fleet::EntryRoster;
use crate::names::NameError;

/// JSON form of [`EntryRoster`].
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct RosterWire {
    pub generation: u64,
    pub places: u32,
    pub next_places: u32,
    pub refreshed_ms: u64,
    pub entries: BTreeMap<String, EntryWire>,
}

/// JSON form of [`EntryRecord`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct EntryWire {
    pub entry_address: SocketAddr,
    pub control_address: SocketAddr,
    pub incarnation: u64,
    pub place: Option<u32>,
    pub next: Option<u32>,
    pub config_version: u64,
    pub fleet_sequence: u64,
}

impl From<&EntryRoster> for RosterWire {
    fn from(roster: &EntryRoster) -> Self {
        let entries = roster.entries.iter();
        Self {
            generation: roster.generation,
            places: roster.places,
            next_places: roster.next_places,
            refreshed_ms: roster.refreshed_ms,
            entries: entries
                .map(|(name, entry)| (name.to_string(), entry.into()))
                .collect(),
        }
    }
}

impl TryFrom<RosterWire> for EntryRoster {
    type Error = NameError;

    fn try_from(wire: RosterWire) -> Result<Self, NameError> {
        let entries = wire.entries.into_iter();
        let entries = entries.map(|(name, entry)| Ok((name.parse()?, entry.into())));
        Ok(Self {
            generation: wire.generation,
            places: wire.places,
            next_places: wire.next_places,
            refreshed_ms: wire.refreshed_ms,
            entries: entries.collect::<Result<_, NameError>>()?,
        })
    }
}

impl From<&EntryRecord> for EntryWire {
    fn from(entry: &EntryRecord) -> Self {
        Self {
            entry_address: entry.entry_address,
            control_address: entry.control_address,
            incarnation: entry.incarnation,
            place: entry.place,
            next: entry.next_place,
            config_version: entry.config_version,
            fleet_sequence: entry.fleet_sequence,
        }
    }
}

impl From<EntryWire> for EntryRecord {
    fn from(wire: EntryWire) -> Self {
        Self {
            entry_address: wire.entry_address,
            control_address: wire.control_address,
            incarnation: wire.incarnation,
            place: wire.place,
            next_place: wire.next,
            config_version: wire.config_version,
            fleet_sequence: wire.fleet_sequence,
        }
    }
}
