//! The state of each host, from every source that reports on it.
