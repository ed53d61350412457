#!/bin/sh
# Builds the stand-ins of the second review's cases (6 to 10). Needs only the JDK; run it after the build of the
# deploy file, from anywhere.
set -eu
cd "$(dirname "$0")/standin-2"
rm -rf target
mkdir target
javac --release 17 -d target src/*.java
