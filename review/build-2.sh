#!/usr/bin/env bash
# Checks that the stand-ins of the second review can run here. They are plain Python without dependencies
# (review/common-2); the daemons use the packages that the build line of deploy/system.toml puts under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit("Python 3.11 or newer is needed") if sys.version_info < (3, 11) else None'
for file in review/common-2/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
[ -d target/deps ] || { echo "run the build line of deploy/system.toml first" >&2; exit 1; }
