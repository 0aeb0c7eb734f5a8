#!/usr/bin/env bash
# Measures the figures of docs/CAPACITY.md: runs the mixed_long experiment on 9 entry instances in
# three zones with different numbers of workers at 200 requests/s, with 300 workers at other rates,
# and with 30 and 1,100 almost idle workers; and on 1 and 3 entry instances with 30 workers.
set -euo pipefail
cd "$(dirname "$0")/.."
for run in "30 200 1" "30 200 3" "30 200 9" "100 200 9" "300 200 9" "1100 200 9" "300 50 9" "300 400 9" "30 0.2 9" "1100 0.2 9"; do
    set -- $run
    npx tsx bin/poplarhead.ts load --experiment load/experiments/mixed_long.yaml --workers "$1" --rate "$2" \
        --instances "$3" --out "bench/results/cluster-load-w$1-r$2-i$3.json" 2>/dev/null || true
done
