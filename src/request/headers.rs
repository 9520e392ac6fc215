//! Headers of the request protocol, as `docs/PROTOCOL.md` describes them.

use std::time::Duration;

use hyper::HeaderMap;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;

use crate::names::NameError;
use crate::names::PoolName;
use crate::request::RequestClass;

/// Names the pool whose VMs run the request; required.
pub const POOL: &str = "chicory-pool";
/// States the class: `urgent`, `ordinary` or `batch`.
pub const CLASS: &str = "chicory-class";
/// States the time left until the deadline, in milliseconds.
pub const DEADLINE_MS: &str = "chicory-deadline-ms";
/// States whether the request may safely run more than once: `true` or `false`.
pub const IDEMPOTENT: &str = "chicory-idempotent";
/// Identifies the request; repeated in the answer.
pub const REQUEST_ID: &str = "chicory-request-id";
/// States the outcome: `answered`, `not-run` or `unknown`.
pub const OUTCOME: &str = "chicory-outcome";
/// States why a request was refused, as a name of a [`crate::request::RefuseReason`].
pub const REASON: &str = "chicory-reason";
/// States after how many milliseconds to retry; `Retry-After` has whole seconds only.
pub const RETRY_AFTER_MS: &str = "chicory-retry-after-ms";
/// Names the entry VM that forwarded the request; it is not forwarded again.
pub const FORWARDED_BY: &str = "chicory-forwarded-by";

/// Names the entry VM that sent the request to a backend server.
pub const ENTRY: &str = "chicory-entry";

/// Maximum length of a request id, in bytes.
pub const MAX_REQUEST_ID_BYTES: usize = 128;
/// Time left until the deadline of a request that states none.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// Maximum time left until the deadline that is accepted.
pub const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// A header that is missing or malformed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum HeaderError {
    /// A required header is missing.
    #[snafu(display("header {name} is missing"))]
    Missing {
        /// Name of the header.
        name: &'static str,
    },
    /// The header is repeated or its value is not accepted.
    #[snafu(display("header {name} is malformed: accepted is {accepted}"))]
    Malformed {
        /// Name of the header.
        name: &'static str,
        /// Description of the accepted values.
        accepted: &'static str,
    },
    /// The value is not a valid name.
    #[snafu(display("header {name}: {source}"))]
    Name {
        /// Name of the header.
        name: &'static str,
        /// Which rule for names the value breaks.
        source: NameError,
    },
}

/// What a caller states about a request in its headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestOptions {
    /// Pool whose VMs run the request.
    pub pool: PoolName,
    /// Importance; `ordinary` if not stated.
    pub class: RequestClass,
    /// Time from the arrival of the request to its deadline.
    pub time_left: Duration,
    /// Whether the request may safely run more than once; `false` if not stated.
    pub idempotent: bool,
    /// The caller's identifier of the request, if it states one.
    pub request_id: Option<String>,
    /// Whether another entry VM forwarded the request.
    pub forwarded: bool,
}

impl RequestOptions {
    /// Parses the headers of a request.
    ///
    /// # Errors
    ///
    /// Returns an error on the first header that is missing, repeated or malformed.
    pub fn parse(headers: &HeaderMap) -> Result<Self, HeaderError> {
        Ok(Self {
            pool: parse_pool(headers)?,
            class: parse_class(headers)?,
            time_left: parse_time_left(headers)?,
            idempotent: parse_idempotent(headers)?,
            request_id: parse_request_id(headers)?,
            forwarded: headers.contains_key(FORWARDED_BY),
        })
    }
}

/// Returns the value of a header, if it is set; it may be set at most once.
fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
    accepted: &'static str,
) -> Result<Option<&'a str>, HeaderError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return MalformedSnafu { name, accepted }.fail();
    }
    let value = value.to_str().ok();
    Ok(Some(value.context(MalformedSnafu { name, accepted })?))
}

fn parse_pool(headers: &HeaderMap) -> Result<PoolName, HeaderError> {
    let value = single_value(headers, POOL, "one name of a pool")?;
    let value = value.context(MissingSnafu { name: POOL })?;
    PoolName::new(value).context(NameSnafu { name: POOL })
}

fn parse_class(headers: &HeaderMap) -> Result<RequestClass, HeaderError> {
    let accepted = "urgent, ordinary or batch";
    let Some(value) = single_value(headers, CLASS, accepted)? else {
        return Ok(RequestClass::default());
    };
    let mut classes = RequestClass::ALL.into_iter();
    let class = classes.find(|class| class.as_str() == value);
    class.context(MalformedSnafu {
        name: CLASS,
        accepted,
    })
}

fn parse_time_left(headers: &HeaderMap) -> Result<Duration, HeaderError> {
    let accepted = "a whole number of milliseconds, 0 to 600000";
    let Some(value) = single_value(headers, DEADLINE_MS, accepted)? else {
        return Ok(DEFAULT_DEADLINE);
    };
    let deadline = value.parse().ok().map(Duration::from_millis);
    let deadline = deadline.filter(|deadline| *deadline <= MAX_DEADLINE);
    deadline.context(MalformedSnafu {
        name: DEADLINE_MS,
        accepted,
    })
}

fn parse_idempotent(headers: &HeaderMap) -> Result<bool, HeaderError> {
    let accepted = "true or false";
    match single_value(headers, IDEMPOTENT, accepted)? {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(_) => MalformedSnafu {
            name: IDEMPOTENT,
            accepted,
        }
        .fail(),
    }
}

fn parse_request_id(headers: &HeaderMap) -> Result<Option<String>, HeaderError> {
    let accepted = "1 to 128 visible ASCII characters";
    let Some(value) = single_value(headers, REQUEST_ID, accepted)? else {
        return Ok(None);
    };
    let fits = (1..=MAX_REQUEST_ID_BYTES).contains(&value.len());
    if !fits || !value.bytes().all(|b| b.is_ascii_graphic()) {
        return MalformedSnafu {
            name: REQUEST_ID,
            accepted,
        }
        .fail();
    }
    Ok(Some(value.to_owned()))
}
