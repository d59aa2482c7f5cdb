package org.amaranthstream.peer;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;

/**
 * Snapshot of an outbound link, for the state dump.
 *
 * @param vm the remote entry VM
 * @param phase phase of the link
 * @param incarnation incarnation of the remote entry VM, empty if the link is not ready
 * @param answerAge time since the last frame from the remote entry VM, empty if the link is not
 *     ready
 * @param waitingFrames number of frames that the operating system has not yet accepted
 * @param waitingBytes number of bytes of these frames
 * @param lostConnections number of authenticated connections that were lost
 * @param lastLoss reason why the last connection ended, empty if none has ended
 */
public record LinkView(
    EntryVmId vm,
    LinkPhase phase,
    Optional<Incarnation> incarnation,
    Optional<Duration> answerAge,
    int waitingFrames,
    long waitingBytes,
    int lostConnections,
    String lastLoss) {}
