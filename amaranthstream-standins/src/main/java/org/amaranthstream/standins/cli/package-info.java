/** Command line of the stand-ins. */
@NullMarked
package org.amaranthstream.standins.cli;

import org.jspecify.annotations.NullMarked;
