package org.amaranthstream.idempotency;

/**
 * A handle of a granted claim. Its holder runs the request and reports the end with it.
 *
 * @param key the digest of the key
 * @param nonce the nonce of the claim
 * @param page the page of the claim
 * @param stored true if the claim is on its page, false if this incarnation issued the key and the
 *     claim is in memory only
 */
public record ClaimHandle(KeyDigest key, ClaimNonce nonce, ClaimPageId page, boolean stored) {}
