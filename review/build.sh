#!/bin/sh
# Builds the stand-ins of the cases: they are Python programs that need only the standard library,
# so this checks that the interpreter can compile them and that the deploy file was built.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "review/build.sh: run the build line of deploy/system.toml first" >&2; exit 1; }
for file in review/*.py review/[1-5]/*.py; do
  [ -f "$file" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
