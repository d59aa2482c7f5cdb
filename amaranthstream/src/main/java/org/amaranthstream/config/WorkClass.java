package org.amaranthstream.config;

import java.time.Duration;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.WorkClassId;

/**
 * A class of work with its targets, as operators state it.
 *
 * @param id the name
 * @param kind what the class is for
 * @param pool the pool that serves it
 * @param answerDeadline time within which an interactive call is answered
 * @param stepDeadline time within which the samples of a training step are whole
 * @param stalenessBound greatest number of weight versions that an answer may be behind
 * @param weighsMore which measure counts more, for training
 * @param idempotent false if a call may run at most once
 * @param maxTokens greatest number of tokens that one answer may have
 */
public record WorkClass(
    WorkClassId id,
    ClassKind kind,
    PoolId pool,
    Duration answerDeadline,
    Duration stepDeadline,
    int stalenessBound,
    TargetWeight weighsMore,
    boolean idempotent,
    int maxTokens) {}
