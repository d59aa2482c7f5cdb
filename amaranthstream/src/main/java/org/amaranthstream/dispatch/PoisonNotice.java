package org.amaranthstream.dispatch;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;

/**
 * What one entry VM tells others about content that was in flight at crashes.
 *
 * @param fingerprint the content
 * @param crashes the crashes
 * @param age time since the newest of them
 */
public record PoisonNotice(Fingerprint fingerprint, ImmutableSet<Crash> crashes, Duration age) {}
