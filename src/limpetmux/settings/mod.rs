//! The settings file of a process: its region and zone, its addresses and its limits.
//!
//! The file is JSON with comments. [`load`] reads it, rejects unknown fields and wrong units with
//! their line and column, and checks what the types cannot express: that addresses do not clash,
//! that URLs are http and that certificates are usable. [`Settings::require`] checks for the role's
//! section. Everything else comes from the declared configuration. The fields are explained in
//! `docs/OPERATIONS.md`; examples are under `examples/`.

mod load;
mod spec;
mod tls;

pub use load::{SettingsError, load, load_tls, parse};
pub use spec::{
    EntrySettings, LogFormat, LogSettings, MetricsSettings, PlatformSettings, Role, Settings,
    SidecarSettings,
};
pub use tls::TlsSettings;
