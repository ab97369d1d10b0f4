#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/11 and later start; needs the project's own build before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/kit review/kit-3/main.rs
