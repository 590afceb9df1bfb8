#!/usr/bin/env bash
# Load patterns replayed on the front's decisions alone, in virtual time, beside simpler rules and an ideal.
set -eu
home=$(cd "$(dirname "$0")/.." && pwd)
name=load-model
. "$home/bench/lib.sh"
"$home/bin/magnolia-load-model" --dir "$out" "$@"
