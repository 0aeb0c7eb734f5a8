#!/usr/bin/env bash
# The slope runs behind docs/CAPACITY.md: the shipped experiment on 9 entry instances (three zones)
# at 30, 100, 300 and 1,100 stand-in workers (200 requests/s), at 300 workers with 50 and 400
# requests/s, all but idle at 30 and 1,100 workers, and on one and three instances for comparison.
set -euo pipefail
cd "$(dirname "$0")/.."
for run in "30 200 1" "30 200 3" "30 200 9" "100 200 9" "300 200 9" "1100 200 9" "300 50 9" "300 400 9" "30 0.2 9" "1100 0.2 9"; do
    set -- $run
    npx tsx bin/poplarhead.ts load --experiment load/experiments/mixed_long.yaml --workers "$1" --rate "$2" \
        --instances "$3" --out "bench/results/cluster-load-w$1-r$2-i$3.json" 2>/dev/null || true
done
