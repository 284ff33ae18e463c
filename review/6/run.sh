#!/bin/sh
# Plays the case on the project's own gateways. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bluebellcrank ] && [ -x target/review-2/lab ] || { echo "build first: the build line of deploy/system.toml, review/build-2.sh"; exit 2; }
exec target/review-2/lab slowed-gateway review/6/record.txt
