#!/bin/bash
# Checks that the stand-ins of review/11 to review/15 can run. They need no build:
# Node.js runs review/lib-3/world.mjs as it is, and Python 3 the slow client.
cd "$(dirname "$0")/.." || exit 1
set -e
test -f target/boragemill.cjs
node --check review/lib-3/world.mjs
for case in review/1[1-5]/case.mjs; do
  if [ -f "$case" ]; then node --check "$case"; fi
done
python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' review/lib-3/slowclient.py
