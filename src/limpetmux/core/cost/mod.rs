//! Cost by stage and workspace.
