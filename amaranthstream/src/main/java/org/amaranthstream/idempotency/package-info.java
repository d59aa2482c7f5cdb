/**
 * At-most-once execution of requests, by claims of idempotency keys in the key-value service.
 *
 * <p>A request runs only after its key was claimed by compare-and-swap, or if the local daemon
 * issued the key. Which incarnation holds a claim depends on neither a lease nor a clock.
 */
@org.jspecify.annotations.NullMarked
package org.amaranthstream.idempotency;
