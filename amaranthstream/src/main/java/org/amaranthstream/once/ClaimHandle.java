package org.amaranthstream.once;

/**
 * The right to run a request once; given back with its end.
 *
 * @param key the key
 * @param nonce the nonce of the claim
 * @param page the page of the claim
 * @param recorded false if the key was issued here and is kept in memory only
 */
public record ClaimHandle(KeyDigest key, ClaimNonce nonce, ClaimPageId page, boolean stored) {}
