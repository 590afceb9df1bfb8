#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start, with the JDK of the deploy build.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
target/jdk/bin/javac -Xlint:all -d target/review review/standins/*.java
