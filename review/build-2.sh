#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 and up, with the JDK that deploy/build.sh has linked.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
target/jdk/bin/javac -nowarn -d target/review-2 review/standins-2/*.java
