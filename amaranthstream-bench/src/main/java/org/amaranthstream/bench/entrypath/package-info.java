/** Comparison of calls through a daemon with direct calls to the same stand-in. */
@NullMarked
package org.amaranthstream.bench.entrypath;

import org.jspecify.annotations.NullMarked;
