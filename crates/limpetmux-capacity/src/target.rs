//! The bounds of the target; see `CONTRIBUTING.md`.

/// Memory that control may take on a node, in bytes.
pub const MEMORY_BYTES: usize = 64 << 20;
/// Traffic that control may cause on a node, in bytes a second.
pub const TRAFFIC_BYTES_PER_S: usize = 24 << 10;
/// Share of a core that control may take on a node.
pub const CORE_SHARE: f64 = 0.022;
/// Changes of configuration a day.
pub const CHANGES_PER_DAY: u32 = 5_400;
/// Time in which a change has to be in force everywhere, in seconds.
pub const IN_FORCE_S: u32 = 16;
/// Requests a second at the peak.
pub const REQUESTS_PER_S: u32 = 2_600;
/// Traffic of one load probe of the planner on a connection of its own, packet headers included, in
/// bytes.
pub const PROBE_BYTES: usize = 1_024;
/// Time between two rounds of the planner's probes, in seconds.
pub const PROBE_ROUND_S: usize = 5;
/// Entries.
pub const ENTRIES: u32 = 360;
/// Hosts with backend servers.
pub const HOSTS: u32 = 950;
/// The most stages of a pipeline.
pub const STAGES: u32 = 6;
/// Appends a second that the log takes; the low end of "several hundred".
pub const APPENDS_PER_S: u32 = 300;
