//! Following all keys of a prefix: read them once, then watch; read again when the
//! history is gone.

use std::time::Duration;

use tokio::time::sleep;

use crate::platform::backoff::BackoffSettings;
use crate::platform::backoff::BackoffState;
use crate::ports::StoreCall;
use crate::ports::StoreReply;
use crate::ports::store::StoreEvent;
use crate::ports::store::StoreItem;
use crate::service::jobs::store::StoreError;
use crate::service::jobs::store::StoreLink;

/// Longest wait of a watch: a connection that went silent is noticed after it.
const WATCH_WAIT: Duration = Duration::from_millis(2000);

/// Added to the wait for the limit on a watch.
const WATCH_SLACK: Duration = Duration::from_millis(600);

/// Limit on reading a page; a slow store answers in a quarter of a second.
const PAGE_LIMIT: Duration = Duration::from_millis(1500);

/// Pauses after failures: acceptance is to resume within a second of the store's
/// return, and all entry VMs together stay far below its rates.
pub const STORE_BACKOFF: BackoffSettings = BackoffSettings {
    first: Duration::from_millis(50),
    most: Duration::from_millis(500),
};

/// News of a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PrefixUpdate {
    /// All items there are.
    Snapshot(Vec<StoreItem>),
    /// A change.
    Change(StoreEvent),
}

/// Reads all items of a prefix and a revision from which to watch.
///
/// # Errors
///
/// Fails if a page cannot be read.
pub async fn read_all(link: &StoreLink, prefix: &str) -> Result<(Vec<StoreItem>, u64), StoreError> {
    let mut all = Vec::new();
    let mut from = None;
    let mut after = String::new();
    loop {
        let call = StoreCall::Range {
            prefix: prefix.to_owned(),
            after: std::mem::take(&mut after),
        };
        match link.call(&call, PAGE_LIMIT).await? {
            StoreReply::Page { items, more, at } => {
                // Changes after the first page may be missing in it.
                let from = *from.get_or_insert(at);
                let last = items.last().map(|item| item.key.clone());
                all.extend(items);
                match last.filter(|_| more) {
                    Some(key) => after = key,
                    None => return Ok((all, from)),
                }
            }
            reply => {
                return Err(StoreError::NotSent {
                    problem: format!("range {prefix}: {reply:?}"),
                });
            }
        }
    }
}

/// Follows a prefix for ever and hands its news on; ends if `news` says so.
pub async fn watch_prefix(
    link: &StoreLink,
    prefix: &str,
    mut news: impl FnMut(PrefixUpdate) -> bool,
) {
    let mut backoff = BackoffState::new(STORE_BACKOFF);
    loop {
        match read_all(link, prefix).await {
            Ok((items, from)) => {
                backoff.reset();
                if !news(PrefixUpdate::Snapshot(items))
                    || !watch(link, prefix, from, &mut news).await
                {
                    return;
                }
            }
            Err(error) => {
                log::debug!(event = "read_failed", prefix = prefix, error:% = error; "");
                sleep(backoff.pause(rand::random())).await;
            }
        }
    }
}

/// Watches until the history is gone (true) or `news` wants no more (false).
async fn watch(
    link: &StoreLink,
    prefix: &str,
    mut after: u64,
    news: &mut impl FnMut(PrefixUpdate) -> bool,
) -> bool {
    let mut backoff = BackoffState::new(STORE_BACKOFF);
    loop {
        let call = StoreCall::Watch {
            prefix: prefix.to_owned(),
            after,
            wait_ms: WATCH_WAIT.as_millis() as u64,
        };
        match link.call(&call, WATCH_WAIT + WATCH_SLACK).await {
            Ok(StoreReply::Events { events, at }) => {
                backoff.reset();
                after = after.max(at);
                for event in events {
                    if !news(PrefixUpdate::Change(event)) {
                        return false;
                    }
                }
            }
            Ok(StoreReply::HistoryGone) => {
                log::info!(event = "history_gone", prefix = prefix, after = after; "");
                return true;
            }
            Ok(reply) => {
                log::debug!(event = "watch_refused", prefix = prefix, reply:? = reply; "");
                sleep(backoff.pause(rand::random())).await;
            }
            Err(error) => {
                log::debug!(event = "watch_failed", prefix = prefix, error:% = error; "");
                sleep(backoff.pause(rand::random())).await;
            }
        }
    }
}
