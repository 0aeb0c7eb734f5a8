#!/usr/bin/env bash
# The slope runs behind docs/CAPACITY.md: the shipped experiment at 30, 100, 300 and 1,100
# stand-in workers (200 requests/s), and at 300 workers with 50 and 400 requests/s.
set -euo pipefail
cd "$(dirname "$0")/.."
for run in "30 200" "100 200" "300 200" "1100 200" "300 50" "300 400"; do
    set -- $run
    npx tsx bin/poplarhead.ts load --experiment load/experiments/mixed.yaml --workers "$1" --rate "$2" \
        --out "bench/results/load-w$1-r$2.json" 2>/dev/null
done
