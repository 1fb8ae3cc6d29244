#!/usr/bin/env bash
# Builds the stand-ins of the cases, with the JDK alone, into target/review.
set -eu
cd "$(dirname "$0")/.."
JAVA_HOME=$(./apricotdeal jdk)
mkdir -p target/review
"$JAVA_HOME/bin/javac" -nowarn -d target/review review/standins/*.java
