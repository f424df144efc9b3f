#!/bin/sh
# Builds the stand-ins and drivers of the scripts of the second review.
set -eu
cd "$(dirname "$0")/tools-2"
exec cargo build --release --offline
