#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../../.." || exit 2
exec timeout --signal=KILL 120 node review/other/crashes/run.mjs
