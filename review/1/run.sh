#!/bin/sh
# Runs the case and ends every process that it started.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
exec "$here/../tools/target/release/missed_drain" "$here/record.txt"
