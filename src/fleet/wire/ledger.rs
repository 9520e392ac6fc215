//! JSON forms of ledgers.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::LedgerRow;
use crate::fleet::OutageCause;
use crate::fleet::PoolLedger;
use crate::names::NameError;

/// JSON form of [`PoolLedger`].
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct LedgerWire {
    pub rows: BTreeMap<String, LedgerRowWire>,
}

/// JSON form of [`LedgerRow`]; a row without an operation records a failure.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct LedgerRowWire {
    pub dc: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operation: Option<String>,
    pub since_ms: u64,
}

impl From<&PoolLedger> for LedgerWire {
    fn from(ledger: &PoolLedger) -> Self {
        let rows = ledger.rows.iter();
        Self {
            rows: rows.map(|(vm, row)| (vm.to_string(), row.into())).collect(),
        }
    }
}

impl TryFrom<LedgerWire> for PoolLedger {
    type Error = NameError;

    fn try_from(wire: LedgerWire) -> Result<Self, NameError> {
        let rows = wire.rows.into_iter();
        let rows = rows.map(|(vm, row)| Ok((vm.parse()?, row.try_into()?)));
        Ok(Self {
            rows: rows.collect::<Result<_, NameError>>()?,
        })
    }
}

impl From<&LedgerRow> for LedgerRowWire {
    fn from(row: &LedgerRow) -> Self {
        let operation = match &row.cause {
            OutageCause::Planned(operation) => Some(operation.to_string()),
            OutageCause::Failed => None,
        };
        Self {
            dc: row.dc.to_string(),
            operation,
            since_ms: row.since_ms,
        }
    }
}

impl TryFrom<LedgerRowWire> for LedgerRow {
    type Error = NameError;

    fn try_from(wire: LedgerRowWire) -> Result<Self, NameError> {
        let cause = match wire.operation {
            Some(operation) => OutageCause::Planned(operation.parse()?),
            None => OutageCause::Failed,
        };
        Ok(Self {
            dc: wire.dc.parse()?,
            cause,
            since_ms: wire.since_ms,
        })
    }
}
