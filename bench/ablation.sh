#!/usr/bin/env bash
# What each mechanism of the front's decisions is worth in the load model; options as of magnolia-load-model.
set -eu
home=$(cd "$(dirname "$0")/.." && pwd)
exec "$home/bin/magnolia-load-model" --ablation "$@"
