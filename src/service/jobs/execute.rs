//! Executes the scheduler's actions. Each call is a task that reports its result as an
//! event.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::clock::boot_ms;
use crate::jobs::actions::Action;
use crate::jobs::actions::CallToken;
use crate::jobs::actions::CallerAnswer;
use crate::jobs::actions::WaiterId;
use crate::jobs::callers::CallerScope;
use crate::jobs::orders::CallResult;
use crate::jobs::record::ShardKeys;
use crate::jobs::record::decode_body;
use crate::jobs::record::decode_progress;
use crate::ports::FleetCall;
use crate::ports::StoreCall;
use crate::ports::StoreReply;
use crate::ports::client::PortClient;
use crate::ports::store::StoreItem;
use crate::service::jobs::claim::OwnerValidity;
use crate::service::jobs::messages::OwnerEvent;
use crate::service::jobs::messages::RelayReply;
use crate::service::jobs::store::StoreLink;

/// How long after its guaranteed ownership has ended an owner still renews the leases
/// of runs, in milliseconds: store outages last seconds. A successor waits this much
/// longer before it removes runs as lost at workers that it cannot reach.
pub const RENEWAL_GRACE_MS: u64 = 6000;

/// Time limit of a store call that looks up a job unknown to the scheduler; a slow store
/// answers in a quarter of a second.
const LOOKUP_LIMIT: Duration = Duration::from_millis(600);

/// A caller's request that waits for its answer.
pub struct AnswerWaiter {
    /// Identifier of the job; empty for a request about a queue.
    pub job: String,
    /// Which jobs the caller has access to.
    pub scope: CallerScope,
    /// Channel for the answer.
    pub sender: oneshot::Sender<RelayReply>,
}

/// Executes the scheduler's actions.
pub struct ActionExecutor {
    /// Link to the store.
    pub link: StoreLink,
    /// Client of the workers, the list of VMs and the advice service.
    pub client: PortClient,
    /// Until when the ownership is guaranteed.
    pub validity: Arc<OwnerValidity>,
    /// Events to the shard owner, for the results of calls.
    pub events: mpsc::UnboundedSender<OwnerEvent>,
    /// Requests that wait for their answer.
    pub waiters: HashMap<WaiterId, AnswerWaiter>,
    /// Identifier of the request that was added last.
    pub last_waiter: WaiterId,
}

impl ActionExecutor {
    /// Adds a request that waits for its answer and returns its identifier.
    pub fn add_waiter(&mut self, waiter: AnswerWaiter) -> WaiterId {
        self.last_waiter += 1;
        self.waiters.insert(self.last_waiter, waiter);
        self.last_waiter
    }

    /// Executes one action; calls run as tasks.
    pub fn execute(&mut self, action: Action) {
        match action {
            Action::Answer { waiter, answer } => {
                let Some(waiter) = self.waiters.remove(&waiter) else {
                    return;
                };
                if answer == CallerAnswer::Unknown {
                    tokio::spawn(confirm_unknown_job(self.link.clone(), waiter));
                } else {
                    // The caller may have disconnected.
                    let _ = waiter.sender.send(answer.into());
                }
            }
            Action::Worker {
                address,
                call,
                token,
            } => {
                let (client, events) = (self.client.clone(), self.events.clone());
                let validity = Arc::clone(&self.validity);
                tokio::spawn(async move {
                    let sent_ms = boot_ms();
                    let result = if may_send(&token, sent_ms, validity.valid_until_ms()) {
                        match client.worker(address, &call).await {
                            Ok(reply) => CallResult::Answered(reply),
                            Err(error) => {
                                log::debug!(event = "worker_call_failed", worker = call.worker.as_str(), error:% = error; "");
                                if error.is_unsent() {
                                    CallResult::NotSent
                                } else {
                                    CallResult::Unknown
                                }
                            }
                        }
                    } else {
                        log::info!(event = "order_withheld", token:? = token; "");
                        CallResult::NotSent
                    };
                    let _ = events.send(OwnerEvent::WorkerCallCompleted {
                        token,
                        result,
                        sent_ms,
                    });
                });
            }
            Action::Advise {
                call,
                step,
                limit_ms,
            } => {
                let (client, events) = (self.client.clone(), self.events.clone());
                let limit = Duration::from_millis(limit_ms);
                tokio::spawn(async move {
                    let reply = match client.advice(&call, limit).await {
                        Ok(reply) => Some(reply),
                        Err(error) => {
                            log::info!(
                                event = "advice_failed", step = call.step.as_str(),
                                workers = call.workers.len(), limit_ms = limit_ms, error:% = error; ""
                            );
                            None
                        }
                    };
                    let _ = events.send(OwnerEvent::AdviceCompleted(step, call.workers, reply));
                });
            }
            Action::Fleet(call) => self.call_fleet(call),
        }
    }

    fn call_fleet(&self, call: FleetCall) {
        let (client, events) = (self.client.clone(), self.events.clone());
        let validity = Arc::clone(&self.validity);
        tokio::spawn(async move {
            let is_order = !matches!(call, FleetCall::List { .. });
            let is_valid = boot_ms() < validity.valid_until_ms();
            let reply = if is_order && !is_valid {
                log::info!(event = "vm_order_withheld", call:? = call; "");
                None
            } else {
                match client.fleet(&call).await {
                    Ok(reply) => Some(reply),
                    Err(error) => {
                        log::info!(event = "fleet_call_failed", error:% = error; "");
                        None
                    }
                }
            };
            let _ = events.send(OwnerEvent::FleetCallCompleted(call, reply));
        });
    }
}

/// Answers that there is no such job if the store has no record of it either, or one of a
/// job of another account; answers
/// that this entry VM is not the owner otherwise, or if the store cannot be read.
///
/// An owner that was suspended or isolated does not know the jobs that its
/// successor has accepted, and cannot know that it has a successor.
async fn confirm_unknown_job(link: StoreLink, waiter: AnswerWaiter) {
    let keys = ShardKeys::default();
    let mut reply = RelayReply::Unknown;
    for prefix in [keys.bodies(), keys.progress()] {
        let key = format!("{prefix}{}", waiter.job);
        let call = StoreCall::Get { key };
        match link.call(&call, LOOKUP_LIMIT).await {
            Ok(StoreReply::Item(None)) => {}
            Ok(StoreReply::Item(Some(item))) if is_foreign_item(&item, &waiter) => break,
            result => {
                log::info!(event = "unknown_job_unconfirmed", job = waiter.job.as_str(), stored:? = result.is_ok(); "");
                reply = RelayReply::NotOwner;
                break;
            }
        }
    }
    // The caller may have disconnected.
    let _ = waiter.sender.send(reply);
}

/// Returns whether a stored record is that of a job of an account that the caller has no
/// access to; such a job is unknown to it. A job in progress has its account in its body
/// only, a finished one in its progress record.
fn is_foreign_item(item: &StoreItem, waiter: &AnswerWaiter) -> bool {
    let is_body = item.key.starts_with(&ShardKeys::default().bodies());
    let account = if is_body {
        decode_body(&item.key, &item.value).map(|body| body.account)
    } else {
        decode_progress(&item.key, &item.value).map(|record| record.account)
    };
    match account {
        Ok(account) => !waiter.scope.covers(account.as_ref()),
        Err(error) => {
            log::error!(event = "job_record_unreadable", error:% = error; "");
            false
        }
    }
}

/// Returns whether an order may be sent at `now`: starts only while the ownership is
/// guaranteed, others also for [`RENEWAL_GRACE_MS`] after that.
fn may_send(token: &CallToken, now: u64, valid_until_ms: u64) -> bool {
    match token {
        CallToken::Start { .. } => now < valid_until_ms,
        _ => now < valid_until_ms + RENEWAL_GRACE_MS,
    }
}
