#!/bin/bash
# Builds the stand-ins that the scripts of this review start.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target
go build -o target/review-3-standin ./review/standin3
