#!/usr/bin/env bash
# The stand-ins of the cases are plain modules of Node 20 in review/lib. Nothing has to be compiled; the scripts need only
# what the build of deploy/system.toml leaves in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/banyanport-relay.cjs || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
for file in review/lib/*.js review/[1-5]/main.js; do
	node --check "$file"
done
