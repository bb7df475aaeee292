//! The daemon: entry, owner of pools, links to other instances.
