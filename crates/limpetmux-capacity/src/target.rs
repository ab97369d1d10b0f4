//! Size and limits of the target deployment; see `CONTRIBUTING.md`.

/// Memory limit of the control plane on a node, in bytes.
pub const MEMORY_BYTES: usize = 64 << 20;
/// Traffic limit of the control plane on a node, in bytes per second.
pub const TRAFFIC_BYTES_PER_S: usize = 24 << 10;
/// Processor limit of the control plane on a node, as a share of one core.
pub const CORE_SHARE: f64 = 0.022;
/// Configuration changes per day.
pub const CHANGES_PER_DAY: u32 = 5_400;
/// Time limit for a change to be in force on all nodes, in seconds.
pub const IN_FORCE_LIMIT_S: u32 = 16;
/// Peak request rate, per second.
pub const REQUESTS_PER_S: u32 = 2_600;
/// Traffic of one load probe of the planner over its own connection, in bytes with packet headers.
pub const PROBE_BYTES: usize = 1_024;
/// Interval between the planner's probe rounds, in seconds.
pub const PROBE_ROUND_S: usize = 5;
/// Number of entries.
pub const ENTRIES: u32 = 360;
/// Number of hosts with backend servers.
pub const HOSTS: u32 = 950;
/// Maximum number of stages in a pipeline.
pub const STAGES: u32 = 6;
/// Append rate that the log sustains, per second: the low end of "several hundred".
pub const APPENDS_PER_S: u32 = 300;
