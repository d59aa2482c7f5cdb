/** Comparison of the path through a daemon with a direct call to the same stand-in. */
@NullMarked
package org.amaranthstream.bench.entrypath;

import org.jspecify.annotations.NullMarked;
