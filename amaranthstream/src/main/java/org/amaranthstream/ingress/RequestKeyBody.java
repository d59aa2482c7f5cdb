package org.amaranthstream.ingress;

/** Answer with an issued idempotency key. */
record RequestKeyBody(String key, String vm) {}
