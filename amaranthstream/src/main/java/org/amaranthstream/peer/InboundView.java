package org.amaranthstream.peer;

import java.time.Duration;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;

/**
 * Snapshot of an accepted connection, for the state dump.
 *
 * @param vm the remote entry VM
 * @param incarnation its incarnation
 * @param heardAge time since the last frame from it
 * @param forwardsRunning number of requests that it forwarded and that run in this process
 * @param waitingBytes number of bytes that the operating system has not yet accepted
 */
public record InboundView(
    EntryVmId vm,
    Incarnation incarnation,
    Duration heardAge,
    int forwardsRunning,
    long waitingBytes) {}
