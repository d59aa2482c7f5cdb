#!/bin/bash
# Builds the stand-ins and drivers of the scripts in review/11 to review/15.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -encoding UTF-8 -d target/review-3 review/standins-3/*.java
