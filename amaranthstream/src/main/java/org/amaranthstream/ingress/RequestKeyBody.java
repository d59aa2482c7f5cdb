package org.amaranthstream.ingress;

/** Response body with an issued idempotency key. */
record RequestKeyBody(String key, String vm) {}
