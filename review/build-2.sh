#!/bin/sh
# The stand-ins of the cases 4 to 6 are plain JavaScript without dependencies; this checks that they parse.
# The daemons come from the build command of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/4/run.mjs review/5/run.mjs review/6/run.mjs; do
    node --check "$file"
done
test -f target/poplarhead_start.cjs
