//! The role that takes callers' requests and runs their pipelines.
