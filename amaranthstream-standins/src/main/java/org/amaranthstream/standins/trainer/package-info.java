/** Stand-in for a trainer, which verifies the samples that it receives. */
@NullMarked
package org.amaranthstream.standins.trainer;

import org.jspecify.annotations.NullMarked;
