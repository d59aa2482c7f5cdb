/** Stand-in for a network link: latency, volume, partitions. */
@NullMarked
package org.amaranthstream.standins.link;

import org.jspecify.annotations.NullMarked;
