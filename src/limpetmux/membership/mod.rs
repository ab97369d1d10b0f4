//! Feeds the host list, orders and observations into the membership state machine.
