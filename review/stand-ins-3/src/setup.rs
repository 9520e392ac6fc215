//! A small deployment: store, workers of one service, list of machines, daemons, a caller.

use std::io;

use crate::Context;
use crate::caller::Caller;
use crate::caller::HOST;
use crate::caller::PREFIX;
use crate::json::Json;
use crate::json::object;
use crate::nodes;
use crate::nodes::Node;
use crate::nodes::Platform;
use crate::store::Store;
use crate::workers::Advice;
use crate::workers::Fleet;

/// Name of the service.
pub const SERVICE: &str = "supplies";

/// Number of daemons.
const NODES: usize = 3;

/// A running deployment.
pub struct Deployment {
    pub fleet: Fleet,
    store: Store,
    pub caller: Caller,
    /// Dropping them ends the daemons.
    pub _nodes: Vec<Node>,
}

/// Starts a deployment whose workers are on these machines, each with its rack.
/// Their one queue has this advice service, if any.
pub fn start(
    context: &Context,
    machines: &[(String, String)],
    advice: Option<Advice>,
) -> io::Result<Deployment> {
    let store = Store::default();
    let store_server = store.start()?;
    let fleet = Fleet::new(store.clone(), context.record.clone(), SERVICE);
    write_config(&store, &fleet, context, 7, advice);
    for (machine, rack) in machines {
        fleet.start_worker(machine, rack)?;
    }
    let list = fleet.start_list()?;
    let advice = fleet.start_advice()?;
    let platform = Platform {
        store: store_server.address,
        list: list.address,
        advice: advice.address,
    };
    let nodes = nodes::start(&context.daemon, &context.folder, NODES, platform)?;
    context.record.write("all daemons are ready");
    let caller = Caller {
        fronts: nodes.iter().map(|node| node.front).collect(),
        record: context.record.clone(),
    };
    Ok(Deployment {
        fleet,
        store,
        caller,
        _nodes: nodes,
    })
}

impl Deployment {
    /// Writes the next version of the configuration, as the operator does.
    pub fn configure(&self, context: &Context, version: u64, advice: Option<Advice>) {
        write_config(&self.store, &self.fleet, context, version, advice);
    }
}

fn write_config(
    store: &Store,
    fleet: &Fleet,
    context: &Context,
    version: u64,
    advice: Option<Advice>,
) {
    fleet.set_advice(advice);
    store.put("op/config", &config(version, advice));
    context.record.write(&format!(
        "configuration version={version} advice={advice:?}"
    ));
}

fn config(version: u64, advice: Option<Advice>) -> Json {
    let mut route = vec![
        ("name", "r-supplies".into()),
        ("host", HOST.into()),
        ("prefix", PREFIX.into()),
        ("kind", "non_idempotent".into()),
        ("timeoutMs", 3000u64.into()),
        ("targetDurationMs", 2500u64.into()),
        ("priority", 0u64.into()),
        ("service", SERVICE.into()),
        ("maxAttempts", 3u64.into()),
        ("slackFactor", Json::Number(2.2)),
    ];
    if let Some(advice) = advice {
        let times = object([
            ("decisionMs", advice.decision_ms.into()),
            ("periodMs", advice.period_ms.into()),
            ("validityMs", advice.validity_ms.into()),
        ]);
        route.push(("advice", times));
    }
    let fields = route
        .into_iter()
        .map(|(name, value)| (name.to_owned(), value));
    let route = Json::Object(fields.collect());
    let service = object([("name", SERVICE.into()), ("rejectsOverload", true.into())]);
    let limits = object([
        ("maxHeaderBytes", 16_384u64.into()),
        ("maxBodyBytes", 262_144u64.into()),
        ("headerTimeoutMs", 3000u64.into()),
        ("idleTimeoutMs", 15_000u64.into()),
    ]);
    object([
        ("version", version.into()),
        ("routes", Json::List(vec![route])),
        ("services", Json::List(vec![service])),
        ("limits", limits),
    ])
}
