/** Stand-in for a network link with latency, byte counts and partitions. */
@NullMarked
package org.amaranthstream.standins.link;

import org.jspecify.annotations.NullMarked;
