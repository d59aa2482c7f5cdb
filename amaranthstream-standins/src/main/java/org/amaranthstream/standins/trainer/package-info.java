/** Stand-in for a trainer, which checks what it is given. */
@NullMarked
package org.amaranthstream.standins.trainer;

import org.jspecify.annotations.NullMarked;
