//! A small deployment: store, workers of one service, list of machines, daemons, a caller.

use std::io;
use std::sync::Arc;

use crate::Context;
use crate::caller::Caller;
use crate::caller::HOST;
use crate::caller::PREFIX;
use crate::http::Handler;
use crate::http::Server;
use crate::json::Json;
use crate::json::object;
use crate::nodes;
use crate::nodes::Node;
use crate::nodes::Platform;
use crate::store::Store;
use crate::workers::Fleet;

/// Name of the service.
pub const SERVICE: &str = "supplies";

/// Number of daemons.
const NODES: usize = 3;

/// A running deployment.
pub struct Deployment {
    pub fleet: Fleet,
    pub caller: Caller,
    /// Dropping them ends the daemons.
    pub _nodes: Vec<Node>,
}

/// Starts a deployment whose workers are on these machines, each with its rack.
pub fn start(context: &Context, machines: &[(String, String)]) -> io::Result<Deployment> {
    let store = Store::default();
    let store_server = store.start()?;
    store.put("op/config", &config());
    let fleet = Fleet::new(store, context.record.clone(), SERVICE);
    for (machine, rack) in machines {
        fleet.start_worker(machine, rack)?;
    }
    let list = fleet.start_list()?;
    // No queue of these cases needs advice.
    let handler: Handler = Arc::new(|_| Some((429, "{}".to_owned())));
    let advice = Server::start(handler)?;
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
        caller,
        _nodes: nodes,
    })
}

fn config() -> Json {
    let route = object([
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
    ]);
    let service = object([("name", SERVICE.into()), ("rejectsOverload", true.into())]);
    let limits = object([
        ("maxHeaderBytes", 16_384u64.into()),
        ("maxBodyBytes", 262_144u64.into()),
        ("headerTimeoutMs", 3000u64.into()),
        ("idleTimeoutMs", 15_000u64.into()),
    ]);
    object([
        ("version", 7u64.into()),
        ("routes", Json::List(vec![route])),
        ("services", Json::List(vec![service])),
        ("limits", limits),
    ])
}
