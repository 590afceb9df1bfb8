#!/usr/bin/env bash
# Control at 18 to 200 instances: the same code and real sockets, many instances in one process.
set -eu
home=$(cd "$(dirname "$0")/.." && pwd)
name=scale
. "$home/bench/lib.sh"
MAGNOLIA_JAVA_OPTIONS="-Xmx4g -XX:+UseParallelGC" "$home/bin/magnolia-scale" --dir "$out" --sizes "${SIZES:-18,50,100,200}" \
  --seconds "${RUN_SECONDS:-20}" 2>"$out/scale.err"
