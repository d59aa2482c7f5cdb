#!/bin/sh
exec "${JAVA:-java}" ${JAVA_OPTS:--XX:+UseSerialGC -Xms16m -Xmx64m -XX:MaxMetaspaceSize=64m -XX:TieredStopAtLevel=1 -Xss512k} -Dfile.encoding=UTF-8 -jar "$0" "$@"
