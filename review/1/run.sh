#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs the case without its disruption.
cd "$(dirname "$0")/../.." || exit 2
case "${TROUBLE:-1}" in
0) TROUBLE=0 ;;
*) TROUBLE=1 ;;
esac
export TROUBLE
if [ ! -x target/bluebellcrank ] || [ ! -x review/bin/cases ]; then
	echo "run the build of deploy/system.toml and review/build.sh first" >&2
	exit 2
fi
exec review/bin/cases latego review/1
