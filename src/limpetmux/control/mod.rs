//! The control thread: folds the log, exchanges digests with peers, publishes views.
