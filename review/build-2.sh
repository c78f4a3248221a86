#!/bin/sh
# Builds all that the scripts of review/6 to review/10 start beside the gateway. Needs the JDK only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -encoding UTF-8 -Xlint:all -d target/review-2 review/standin-2/*.java
