//! Builds the processes of both roles from their settings.
