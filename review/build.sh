#!/bin/sh
# Builds the stand-ins of the cases into target/review. Run it after the build of the deploy file; it needs the JDK only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/rig/*.java review/[1-9]/*.java
