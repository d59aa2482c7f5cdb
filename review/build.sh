#!/bin/sh
# Builds the stand-ins of the cases. Run in the repository's root.
set -e
mkdir -p target/review
javac --release 17 -d target/review review/standins/*.java
