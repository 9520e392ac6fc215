//! Membership of the entry VMs of a data centre.
