/** Stand-in for a model engine. */
@NullMarked
package org.amaranthstream.standins.engine;

import org.jspecify.annotations.NullMarked;
