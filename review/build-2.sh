#!/bin/sh
# Compiles the stand-ins and scripts of the second review into target/review-2. The build of deploy/system.toml goes first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -nowarn -cp target/ridgemill-cdn.jar -d target/review-2 \
    $(find review/rig-2 review/[4-8]/src -name '*.java' 2>/dev/null)
