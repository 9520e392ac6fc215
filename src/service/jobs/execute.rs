//! Carrying out what the scheduler wants done: each call is a task that reports back.

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
use crate::jobs::orders::CallResult;
use crate::jobs::record::ShardKeys;
use crate::ports::FleetCall;
use crate::ports::StoreCall;
use crate::ports::StoreReply;
use crate::ports::client::PortClient;
use crate::service::jobs::claim::OwnerValidity;
use crate::service::jobs::messages::OwnerEvent;
use crate::service::jobs::messages::RelayReply;
use crate::service::jobs::store::StoreLink;

/// How long after the end of its sure ownership an owner still keeps running work
/// alive, in milliseconds: outages of the store last seconds. A successor waits as
/// long before it gives up runs at workers that it cannot reach.
pub const KEEP_ALIVE_MS: u64 = 6000;

/// Limit on asking the store for a job that is not known here; a slow store answers
/// in a quarter of a second.
const ABSENT_LIMIT: Duration = Duration::from_millis(600);

/// Who waits for an answer about a job.
pub struct AnswerWaiter {
    /// Job; empty for a question about a queue.
    pub job: String,
    /// Where the answer goes.
    pub sender: oneshot::Sender<RelayReply>,
}

/// Carries actions out.
pub struct ActionExecutor {
    /// The store.
    pub link: StoreLink,
    /// Calls workers, list of VMs and advice service.
    pub client: PortClient,
    /// How sure the ownership is.
    pub validity: Arc<OwnerValidity>,
    /// Where results go.
    pub events: mpsc::UnboundedSender<OwnerEvent>,
    /// Who waits for an answer.
    pub waiters: HashMap<WaiterId, AnswerWaiter>,
    /// Next waiter.
    pub next_waiter: WaiterId,
}

impl ActionExecutor {
    /// Remembers who waits for an answer.
    pub fn add_waiter(&mut self, waiter: AnswerWaiter) -> WaiterId {
        self.next_waiter += 1;
        self.waiters.insert(self.next_waiter, waiter);
        self.next_waiter
    }

    /// Carries out one action.
    pub fn execute(&mut self, action: Action) {
        match action {
            Action::Answer { waiter, answer } => {
                let Some(waiter) = self.waiters.remove(&waiter) else {
                    return;
                };
                if answer == CallerAnswer::Unknown {
                    tokio::spawn(answer_unknown(self.link.clone(), waiter));
                } else {
                    // The caller may have gone.
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
            Action::Advise { call, step } => {
                let (client, events) = (self.client.clone(), self.events.clone());
                tokio::spawn(async move {
                    let reply = match client.advice(&call).await {
                        Ok(reply) => Some(reply),
                        Err(error) => {
                            log::info!(event = "advice_failed", step = call.step.as_str(), error:% = error; "");
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
            let order = !matches!(call, FleetCall::List { .. });
            let sure = boot_ms() < validity.valid_until_ms();
            let reply = if order && !sure {
                log::info!(event = "vm_order_withheld", call:? = call; "");
                None
            } else {
                match client.fleet(&call).await {
                    Ok(reply) => Some(reply),
                    Err(error) => {
                        log::info!(event = "fleet_failed", error:% = error; "");
                        None
                    }
                }
            };
            let _ = events.send(OwnerEvent::FleetCallCompleted(call, reply));
        });
    }
}

/// Answers that there is no such job if the store has none either.
///
/// An owner that was frozen or cut off does not know the jobs that its successor has
/// accepted, and cannot know that it has a successor.
async fn answer_unknown(link: StoreLink, waiter: AnswerWaiter) {
    let keys = ShardKeys::default();
    let mut reply = RelayReply::Unknown;
    for prefix in [keys.bodies(), keys.progress()] {
        let key = format!("{prefix}{}", waiter.job);
        let call = StoreCall::Get { key };
        match link.call(&call, ABSENT_LIMIT).await {
            Ok(StoreReply::Item(None)) => {}
            found => {
                log::info!(event = "job_not_here", job = waiter.job.as_str(), stored:? = found.is_ok(); "");
                reply = RelayReply::NotOwner;
                break;
            }
        }
    }
    // The caller may have gone.
    let _ = waiter.sender.send(reply);
}

/// Tells whether the ownership still covers an order that is about to be sent.
fn may_send(token: &CallToken, now: u64, valid_until_ms: u64) -> bool {
    match token {
        CallToken::Start { .. } => now < valid_until_ms,
        _ => now < valid_until_ms + KEEP_ALIVE_MS,
    }
}
