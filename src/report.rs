//! Evidence from the audit trail: whether each condition held.
