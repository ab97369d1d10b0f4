#!/bin/sh
# Builds the stand-ins and clients of the cases 6 to 10. They need the standard library only.
cd "$(dirname "$0")/.." || exit 1
mkdir -p target/review-2 || exit 1
exec rustc --edition 2024 -O -o target/review-2/harness review/kit-2/harness.rs
