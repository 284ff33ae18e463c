#!/bin/sh
# Builds the stand-ins of the review cases.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go test -c -tags review -o review/bin/cases ./review/cases
