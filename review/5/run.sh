#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
# run. Writes to record.txt in this folder what was sent, answered and run.
folder=$(dirname "$0")
exec node "$folder/case.mjs" "$folder/record.txt"
