#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are plain JavaScript without dependencies, so each file is only compiled once, as a check.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.js {6,7,8,9,10}/play.js; do
	node --check "$file"
done
