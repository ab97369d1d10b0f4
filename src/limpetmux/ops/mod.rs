//! One function per operator command.
