#!/usr/bin/env bash
# Builds the stand-ins of the cases; the boxes are built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-1 ./review/1
go build -tags review -o target/review-2 ./review/2 # of cases 2 and 3
