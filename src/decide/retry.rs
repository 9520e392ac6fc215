//! When a request may be sent again.
