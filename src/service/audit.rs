//! Service `audit`: moves audit rows from outboxes to segments.
