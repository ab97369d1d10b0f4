//! The role that guards one backend server.
