/**
 * Experiments that run daemons and stand-ins as processes on loopback. Each run offers open-loop
 * calls next to a trainer, injects a fault and measures the outcome.
 */
@NullMarked
package org.amaranthstream.bench.experiment;

import org.jspecify.annotations.NullMarked;
