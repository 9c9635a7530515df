#!/bin/sh
# The stand-ins of the scripts are plain Node.js modules in review/lib and in the
# folders of the cases; nothing has to be compiled. This checks their syntax.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do
  [ -f "$file" ] && node --check "$file"
done
