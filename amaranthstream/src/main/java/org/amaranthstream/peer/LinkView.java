package org.amaranthstream.peer;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;

/**
 * An outbound link at one moment, for the state dump.
 *
 * @param vm the entry VM at the other end
 * @param phase where the link is
 * @param incarnation the incarnation at the other end, empty if not connected
 * @param answerAge time since the last frame from the other end, empty if not connected
 * @param waitingFrames frames that the operating system has not taken yet
 * @param waitingBytes bytes of these frames
 * @param lostConnections authenticated connections that were lost
 * @param lastLoss why the last connection ended, empty if none did
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
