//! Messages between entry VMs, encoded as MessagePack over HTTP.
