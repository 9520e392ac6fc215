//! The caller: hands jobs in and asks for their states.

use std::net::SocketAddr;
use std::time::Duration;

use crate::http;
use crate::json::Json;
use crate::record::Record;

/// Host of the route.
pub const HOST: &str = "pule25.example";

/// Prefix of the route.
pub const PREFIX: &str = "/puxa400/";

/// Time limit of the kinds of request of the site.
const LIMIT: Duration = Duration::from_millis(3000);

/// Retries of a call without an answer.
const RETRIES: usize = 4;

/// A caller; its retries go to the next entry VM.
#[derive(Clone)]
pub struct Caller {
    pub fronts: Vec<SocketAddr>,
    pub record: Record,
}

impl Caller {
    fn call(&self, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let first = id.bytes().map(usize::from).sum::<usize>();
        let mut last = None;
        for attempt in 0..=RETRIES {
            let front = self.fronts[(first + attempt) % self.fronts.len()];
            let path = format!("{PREFIX}{id}");
            let answer = http::call(front, method, HOST, &path, body, LIMIT);
            let status = answer.as_ref().map_or(0, |(status, _)| *status);
            last = answer.ok();
            if !matches!(status, 0 | 429 | 502 | 503 | 504) {
                break;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        last
    }

    /// Hands a job in; returns whether it was accepted.
    pub fn submit(&self, id: &str, job: &Json) -> bool {
        let answer = self.call("POST", id, &job.to_string());
        let status = answer.map_or(0, |(status, _)| status);
        self.record.write(&format!("POST job={id} status={status}"));
        (200..300).contains(&status)
    }

    /// Returns the state of a job; the status if it is not 200.
    pub fn state(&self, id: &str) -> String {
        match self.call("GET", id, "") {
            Some((200, body)) => Json::parse(&body).text("state"),
            Some((status, _)) => status.to_string(),
            None => "no answer".to_owned(),
        }
    }
}
