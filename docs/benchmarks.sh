#!/bin/sh
# Writes docs/BENCHMARKS.md from the output of `make bench`.
cat <<'HEAD'
# Benchmarks

Written by `make bench`; the figures are those of its last run, on one machine
of 8 cores. Rows with a bound are held to it, in virtual time, by `make test`;
rows from the clock have none there. Bounds come from the users' targets. Days of
the users' bench, round by round and beside baselines, are in [SCORES.md](SCORES.md).

| name | value | unit | bound | verdict |
|---|---|---|---|---|
HEAD
sed -n 's/^.*row | \(.*\)$/| \1/p' "$1"
echo
echo '## Decisions'
echo
echo '```'
grep -E '^Benchmark' "$1"
echo '```'
