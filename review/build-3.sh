#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start, beside the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go test -c -tags review -o target/review-3/lab3.test ./review/lab3
