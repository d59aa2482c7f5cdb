/**
 * Requests that may run at most once: claims of idempotency keys in the key-value service.
 *
 * <p>A request runs only after its key was claimed by compare-and-swap. No lease and no clock
 * decides who holds a claim.
 */
@org.jspecify.annotations.NullMarked
package org.amaranthstream.once;
