//! What a process reads from its settings file: its place, its addresses and its limits.
//!
//! The file is JSON with comments. [`load`] reads it, rejects unknown fields and wrong units with
//! the line and column, and checks what the types cannot: clashing addresses and what the role
//! needs. Everything else comes from the declared configuration, not from here. The fields are
//! explained in `docs/OPERATIONS.md`; examples are under `examples/`.

mod load;
mod spec;
mod tls;

pub use load::{SettingsError, load, load_tls, parse};
pub use spec::{
    EntrySettings, LogFormat, LogSettings, MetricsSettings, PlatformSettings, Role, Settings,
    SidecarSettings,
};
pub use tls::TlsSettings;
