#!/bin/sh
# Builds the stand-ins and drivers of the scripts.
set -eu
cd "$(dirname "$0")/tools"
exec cargo build --release --locked
