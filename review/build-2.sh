#!/usr/bin/env bash
# Builds the stand-in that the scripts of cases 6 to 10 start. The host program is built
# by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
go build -o ../../target/review-standin-2 .
