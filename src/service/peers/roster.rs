//! The roster at the platform.

use snafu::ResultExt;
use snafu::Snafu;

use super::PeerTools;
use crate::fleet::EntryRoster;
use crate::fleet::wire::RosterWire;
use crate::names::DcName;
use crate::names::NameError;
use crate::platform::PlatformError;

/// A roster that could not be read or written.
#[derive(Debug)]
#[derive(Snafu)]
pub(super) enum RosterError {
    #[snafu(display("{source}"))]
    Platform { source: PlatformError },
    #[snafu(display("step=decode_roster: {source}"))]
    Decode { source: serde_json::Error },
    #[snafu(display("step=read_roster: {source}"))]
    Name { source: NameError },
}

/// A roster as it stands at the platform.
#[derive(Clone, Debug, Default)]
pub(super) struct StoredRoster {
    pub roster: EntryRoster,
    pub revision: u64,
}

fn roster_key(dc: &DcName) -> String {
    format!("entries/{dc}")
}

/// Reads the roster of this data centre; an empty one if there is none.
pub(super) async fn read(tools: &PeerTools) -> Result<StoredRoster, RosterError> {
    let key = roster_key(&tools.identity.dc);
    let Some(stored) = tools.client.get(&key).await.context(PlatformSnafu)? else {
        return Ok(StoredRoster::default());
    };
    let wire: RosterWire = serde_json::from_slice(&stored.value).context(DecodeSnafu)?;
    Ok(StoredRoster {
        roster: EntryRoster::try_from(wire).context(NameSnafu)?,
        revision: stored.revision,
    })
}

/// Writes a roster in place of the one that was read; another writer's stays.
///
/// An error leaves open whether the write has taken effect.
pub(super) async fn write(
    tools: &PeerTools,
    stored: &StoredRoster,
    next: &EntryRoster,
) -> Result<(), RosterError> {
    let key = roster_key(&tools.identity.dc);
    let value = serde_json::to_vec(&RosterWire::from(next)).context(DecodeSnafu)?;
    let client = &tools.client;
    let written = client.compare_and_swap(&key, stored.revision, value).await;
    if written.context(PlatformSnafu)? && next.generation > stored.roster.generation {
        log::info!(
            event = "roster_written", generation = next.generation,
            places = next.places, next_places = next.next_places; ""
        );
    }
    Ok(())
}
