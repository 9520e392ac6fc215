//! Access to the roster stored at the platform.

use snafu::ResultExt;
use snafu::Snafu;

use super::PeerContext;
use crate::fleet::EntryRoster;
use crate::fleet::wire::RosterWire;
use crate::names::DcName;
use crate::names::NameError;
use crate::platform::PlatformError;

/// Why the roster could not be read or written.
#[derive(Debug)]
#[derive(Snafu)]
pub(super) enum RosterError {
    #[snafu(display("{source}"))]
    Platform { source: PlatformError },
    #[snafu(display("step=convert_roster: not the JSON of a roster: {source}"))]
    Json { source: serde_json::Error },
    #[snafu(display("step=convert_roster: {source}"))]
    Name { source: NameError },
}

/// A roster and its revision as stored at the platform.
#[derive(Clone, Debug, Default)]
pub(super) struct StoredRoster {
    pub roster: EntryRoster,
    /// Revision of the key, for compare-and-swap; 0 if the key does not exist.
    pub revision: u64,
}

fn roster_key(dc: &DcName) -> String {
    format!("entries/{dc}")
}

/// Reads the roster of this data centre; returns an empty one if none is stored.
pub(super) async fn read(context: &PeerContext) -> Result<StoredRoster, RosterError> {
    let key = roster_key(&context.identity.dc);
    let Some(stored) = context.client.get(&key).await.context(PlatformSnafu)? else {
        return Ok(StoredRoster::default());
    };
    let wire: RosterWire = serde_json::from_slice(&stored.value).context(JsonSnafu)?;
    Ok(StoredRoster {
        roster: EntryRoster::try_from(wire).context(NameSnafu)?,
        revision: stored.revision,
    })
}

/// Replaces the roster that was read, by compare-and-swap.
///
/// If another writer has changed it since the read, that roster stays and the result is
/// still `Ok`. After an error it is unknown whether the write has taken effect.
pub(super) async fn write(
    context: &PeerContext,
    stored: &StoredRoster,
    next: &EntryRoster,
) -> Result<(), RosterError> {
    let key = roster_key(&context.identity.dc);
    let value = serde_json::to_vec(&RosterWire::from(next)).context(JsonSnafu)?;
    let client = &context.client;
    let written = client.compare_and_swap(&key, stored.revision, value).await;
    if written.context(PlatformSnafu)? && next.generation > stored.roster.generation {
        log::info!(
            event = "roster_written", generation = next.generation,
            places = next.places, next_places = next.next_places; ""
        );
    }
    Ok(())
}
