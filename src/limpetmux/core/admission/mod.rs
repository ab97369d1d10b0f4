//! Admission to one backend server: concurrency limit, slow start, queue and fair share.
