#!/bin/sh
# Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/harness ] && [ -x target/release/limpetmux ] || exit 2
target/review-2/harness quarantine-memory target/release/limpetmux review/6
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
