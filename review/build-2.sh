#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 from their sources; needs only the JDK.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/standins-2/*.java
