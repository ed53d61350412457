#!/bin/sh
# Builds the stand-ins and tests of the review; run after the build of the deploy file.
set -e
cd "$(dirname "$0")"
mkdir -p target
javac -d target standin/*.java
