//! Ejection of backend servers that fail.
