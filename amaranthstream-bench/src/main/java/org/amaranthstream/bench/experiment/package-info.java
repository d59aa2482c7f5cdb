/**
 * Load and experiments: daemons and stand-ins as processes on loopback, open-loop calls beside a
 * trainer, faults, and the measures of each run.
 */
@NullMarked
package org.amaranthstream.bench.experiment;

import org.jspecify.annotations.NullMarked;
