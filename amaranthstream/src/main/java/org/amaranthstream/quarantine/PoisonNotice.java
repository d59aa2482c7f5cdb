package org.amaranthstream.quarantine;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;

/**
 * A notice to other entry VMs about content that was in flight at crashes of backend servers.
 *
 * @param fingerprint the fingerprint of the content
 * @param crashes the crashes at which it was in flight, and after which it has not completed
 * @param cleared the crashes at which it was in flight, and after which it completed
 * @param age time since the newest of these crashes
 */
public record PoisonNotice(
    Fingerprint fingerprint,
    ImmutableSet<Crash> crashes,
    ImmutableSet<Crash> cleared,
    Duration age) {}
