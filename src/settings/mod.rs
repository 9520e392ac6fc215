//! Settings of the daemon, read from an INI file.
//!
//! All faults of a file are reported together; an unknown section or key is a
//! fault.

mod limits;

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use ini::Ini;
use ini::Properties;

use crate::names::DcName;
use crate::names::EntryName;
use crate::platform::PlatformSettings;

pub use limits::EntryLimits;

/// A peer: another entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// Data centre of the peer.
    pub dc: DcName,
    /// Control address of the peer.
    pub control: SocketAddr,
}

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct DaemonSettings {
    /// Name of this entry VM.
    pub name: EntryName,
    /// Data centre of this entry VM.
    pub dc: DcName,
    /// Address on which it listens for callers.
    pub entry_listen: SocketAddr,
    /// Address on which it listens for peers and operators.
    pub control_listen: SocketAddr,
    /// Known entry VMs of all data centres.
    pub peers: Vec<PeerAddress>,
    /// Address of the platform and limits of calls to it.
    pub platform: PlatformSettings,
    /// Limits of the request path.
    pub limits: EntryLimits,
    /// Periods and time limits of the control traffic.
    pub control: ControlPeriods,
}

/// Periods and time limits of the control traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlPeriods {
    /// Time after which a controller lease expires unless it is renewed.
    pub lease_ttl: Duration,
    /// Interval between exchanges with a peer.
    pub sync: Duration,
    /// Interval between reads of the platform's list of VMs.
    pub list: Duration,
    /// Max delay until the platform's list of VMs shows a change.
    pub list_lag: Duration,
    /// Longest pause of the process that needs no action, for example while its VM is
    /// suspended; after a longer one it confirms its state again before it serves.
    pub pause_limit: Duration,
}

impl Default for ControlPeriods {
    fn default() -> Self {
        Self {
            lease_ttl: Duration::from_secs(10),
            sync: Duration::from_secs(1),
            list: Duration::from_secs(5),
            list_lag: Duration::from_secs(30),
            pause_limit: Duration::from_secs(2),
        }
    }
}

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingFault {
    /// Section; empty if the file cannot be read or parsed, and for keys before the first
    /// section.
    pub section: String,
    /// Key; empty if the fault concerns the section or the file.
    pub key: String,
    /// Value found in the file; the path if the file cannot be read.
    pub value: String,
    /// Values that are accepted.
    pub accepted: String,
}

impl fmt::Display for SettingFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "section={} key={} value={:?} accepted={:?}",
            self.section, self.key, self.value, self.accepted
        )
    }
}

/// Accepted sections, each with its keys.
const KNOWN_KEYS: [(&str, &[&str]); 5] = [
    ("entry", &["name", "dc", "listen", "control_listen"]),
    ("peers", &["control"]),
    ("platform", &["address", "call_limit_ms", "watch_wait_ms"]),
    (
        "limits",
        &[
            "request_bytes",
            "answer_bytes",
            "buffer_bytes",
            "head_bytes",
            "head_limit_ms",
            "body_limit_ms",
            "idle_limit_ms",
            "read_limit_ms",
            "connections",
            "connect_limit_ms",
            "announce_ms",
            "overrun_limit_ms",
            "shutdown_limit_ms",
        ],
    ),
    (
        "control",
        &[
            "lease_ttl_ms",
            "sync_ms",
            "list_ms",
            "list_lag_ms",
            "pause_limit_ms",
        ],
    ),
];

impl DaemonSettings {
    /// Reads the settings from a file.
    ///
    /// # Errors
    ///
    /// Fails with all faults of the file, or with one if it cannot be read.
    pub fn load(path: &Path) -> Result<Self, Vec<SettingFault>> {
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&text),
            Err(error) => Err(vec![file_fault(path.display(), error)]),
        }
    }

    /// Reads the settings from the text of a file.
    ///
    /// # Errors
    ///
    /// Fails with all faults of the text.
    pub fn parse(text: &str) -> Result<Self, Vec<SettingFault>> {
        let ini = Ini::load_from_str(text);
        let ini = ini.map_err(|error| vec![file_fault("", error)])?;
        let mut reader = SettingReader {
            ini: &ini,
            faults: Vec::new(),
        };
        reader.check_keys();
        let name = entry_name(&mut reader);
        let dc = entry_dc(&mut reader);
        let settings = (
            entry_listen(&mut reader),
            control_listen(&mut reader),
            peers(&mut reader),
            platform(&mut reader),
            limits(&mut reader),
            control(&mut reader),
        );
        match (name, dc, reader.faults.is_empty()) {
            (Some(name), Some(dc), true) => Ok(Self {
                name,
                dc,
                entry_listen: settings.0,
                control_listen: settings.1,
                peers: settings.2,
                platform: settings.3,
                limits: settings.4,
                control: settings.5,
            }),
            _ => Err(reader.faults),
        }
    }
}

fn file_fault(value: impl fmt::Display, error: impl fmt::Display) -> SettingFault {
    SettingFault {
        section: String::new(),
        key: String::new(),
        value: value.to_string(),
        accepted: format!("a readable INI file: {error}"),
    }
}

/// Reads typed values and collects the faults.
struct SettingReader<'a> {
    ini: &'a Ini,
    faults: Vec<SettingFault>,
}

impl SettingReader<'_> {
    fn add_fault(&mut self, section: &str, key: &str, value: &str, accepted: &str) {
        self.faults.push(SettingFault {
            section: section.to_owned(),
            key: key.to_owned(),
            value: value.to_owned(),
            accepted: accepted.to_owned(),
        });
    }

    fn check_keys(&mut self) {
        let ini = self.ini;
        let sections = KNOWN_KEYS.map(|(section, _)| section).join(", ");
        let mut seen = BTreeSet::new();
        for (section, properties) in ini {
            let section = section.unwrap_or("");
            if !seen.insert(section) {
                // `rust-ini` keeps both sections, but looks keys up in the first only.
                self.add_fault(section, "", "", "each section once");
            }
            let known = KNOWN_KEYS.iter().find(|(name, _)| *name == section);
            let Some((_, keys)) = known else {
                if !section.is_empty() || !properties.is_empty() {
                    self.add_fault(section, "", "", &format!("sections {sections}"));
                }
                continue;
            };
            self.check_section(section, properties, keys);
        }
    }

    fn check_section(&mut self, section: &str, properties: &Properties, keys: &[&str]) {
        let mut seen = BTreeSet::new();
        for (key, value) in properties {
            if !keys.contains(&key) {
                self.add_fault(section, key, value, &format!("keys {}", keys.join(", ")));
            } else if !seen.insert(key) {
                self.add_fault(section, key, value, "each key once");
            }
        }
    }

    fn optional<T: FromStr>(&mut self, section: &str, key: &str, accepted: &str) -> Option<T> {
        let text = self.ini.get_from(Some(section), key)?;
        let value = text.trim().parse().ok();
        if value.is_none() {
            self.add_fault(section, key, text, accepted);
        }
        value
    }

    fn required<T: FromStr>(&mut self, section: &str, key: &str, accepted: &str) -> Option<T> {
        if self.ini.get_from(Some(section), key).is_none() {
            self.add_fault(section, key, "", accepted);
            return None;
        }
        self.optional(section, key, accepted)
    }

    fn number(&mut self, section: &str, key: &str, range: (usize, usize), default: usize) -> usize {
        let (min, max) = range;
        let accepted = format!("a whole number, {min} to {max}");
        let Some(number) = self.optional::<usize>(section, key, &accepted) else {
            return default;
        };
        if !(min..=max).contains(&number) {
            self.add_fault(section, key, &number.to_string(), &accepted);
        }
        number
    }

    fn millis(&mut self, section: &str, key: &str, default: Duration) -> Duration {
        const MAX_MILLIS: usize = 24 * 3600 * 1000;
        let default = usize::try_from(default.as_millis()).unwrap_or(MAX_MILLIS);
        let millis = self.number(section, key, (1, MAX_MILLIS), default);
        Duration::from_millis(millis as u64)
    }
}

const NAME_FORMAT: &str = "1 to 63 of A-Z a-z 0-9 - _ .";
const ADDRESS_FORMAT: &str = "an IP number and a port, as 10.0.0.1:8080";

fn entry_name(reader: &mut SettingReader<'_>) -> Option<EntryName> {
    reader.required("entry", "name", NAME_FORMAT)
}

fn entry_dc(reader: &mut SettingReader<'_>) -> Option<DcName> {
    reader.required("entry", "dc", NAME_FORMAT)
}

fn entry_listen(reader: &mut SettingReader<'_>) -> SocketAddr {
    let address = reader.optional("entry", "listen", ADDRESS_FORMAT);
    address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 8080)))
}

fn control_listen(reader: &mut SettingReader<'_>) -> SocketAddr {
    let address = reader.optional("entry", "control_listen", ADDRESS_FORMAT);
    address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 8081)))
}

fn peers(reader: &mut SettingReader<'_>) -> Vec<PeerAddress> {
    let Some(text) = reader.ini.get_from(Some("peers"), "control") else {
        return Vec::new();
    };
    let items = text.split(',').map(str::trim);
    let items = items.filter(|item| !item.is_empty());
    let mut peers = Vec::new();
    for item in items {
        match parse_peer(item) {
            Some(peer) => peers.push(peer),
            None => reader.add_fault("peers", "control", item, "a list of DC=IP:PORT"),
        }
    }
    peers
}

fn parse_peer(item: &str) -> Option<PeerAddress> {
    let (dc, address) = item.split_once('=')?;
    Some(PeerAddress {
        dc: dc.trim().parse().ok()?,
        control: address.trim().parse().ok()?,
    })
}

fn platform(reader: &mut SettingReader<'_>) -> PlatformSettings {
    let defaults = PlatformSettings::default();
    let address = reader.required("platform", "address", ADDRESS_FORMAT);
    PlatformSettings {
        address: address.unwrap_or(defaults.address),
        call_limit: reader.millis("platform", "call_limit_ms", defaults.call_limit),
        watch_wait: reader.millis("platform", "watch_wait_ms", defaults.watch_wait),
    }
}

fn limits(reader: &mut SettingReader<'_>) -> EntryLimits {
    const BYTES: (usize, usize) = (1024, 64 << 20);
    const BUFFER: (usize, usize) = (1024, 64 << 30);
    const CONNECTIONS: (usize, usize) = (1, 65_536);
    let defaults = EntryLimits::default();
    EntryLimits {
        request_bytes: reader.number("limits", "request_bytes", BYTES, defaults.request_bytes),
        answer_bytes: reader.number("limits", "answer_bytes", BYTES, defaults.answer_bytes),
        buffer_bytes: reader.number("limits", "buffer_bytes", BUFFER, defaults.buffer_bytes),
        head_bytes: reader.number("limits", "head_bytes", BYTES, defaults.head_bytes),
        head_limit: reader.millis("limits", "head_limit_ms", defaults.head_limit),
        body_limit: reader.millis("limits", "body_limit_ms", defaults.body_limit),
        idle_limit: reader.millis("limits", "idle_limit_ms", defaults.idle_limit),
        read_limit: reader.millis("limits", "read_limit_ms", defaults.read_limit),
        connections: reader.number("limits", "connections", CONNECTIONS, defaults.connections),
        connect_limit: reader.millis("limits", "connect_limit_ms", defaults.connect_limit),
        announce: reader.millis("limits", "announce_ms", defaults.announce),
        overrun_limit: reader.millis("limits", "overrun_limit_ms", defaults.overrun_limit),
        shutdown_limit: reader.millis("limits", "shutdown_limit_ms", defaults.shutdown_limit),
    }
}

fn control(reader: &mut SettingReader<'_>) -> ControlPeriods {
    let defaults = ControlPeriods::default();
    ControlPeriods {
        lease_ttl: reader.millis("control", "lease_ttl_ms", defaults.lease_ttl),
        sync: reader.millis("control", "sync_ms", defaults.sync),
        list: reader.millis("control", "list_ms", defaults.list),
        list_lag: reader.millis("control", "list_lag_ms", defaults.list_lag),
        pause_limit: reader.millis("control", "pause_limit_ms", defaults.pause_limit),
    }
}
