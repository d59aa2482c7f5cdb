package org.amaranthstream.peer;

import com.google.protobuf.ByteString;
import java.time.Duration;

/**
 * A fingerprint in quarantine.
 *
 * @param fingerprint the bytes of the fingerprint
 * @param remaining time for which it stays in quarantine
 */
public record QuarantineNotice(ByteString fingerprint, Duration remaining) {}
