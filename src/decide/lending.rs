//! Lending of spare VMs to pools that are short.
