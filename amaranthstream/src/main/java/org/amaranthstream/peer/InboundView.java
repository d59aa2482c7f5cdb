package org.amaranthstream.peer;

import java.time.Duration;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;

/**
 * An accepted connection at one moment, for the state dump.
 *
 * @param vm the entry VM at the other end
 * @param incarnation its incarnation
 * @param heardAge time since its last frame
 * @param forwardsRunning requests that it forwarded and that run here
 * @param waitingBytes bytes that the operating system has not taken yet
 */
public record InboundView(
    EntryVmId vm,
    Incarnation incarnation,
    Duration heardAge,
    int forwardsRunning,
    long waitingBytes) {}
