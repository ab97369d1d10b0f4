#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-3 ] && [ -x target/release/limpetmux ] || exit 2
target/review/case-3 review/3
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
