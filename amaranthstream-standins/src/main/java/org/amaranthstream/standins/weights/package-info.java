/** Stand-in for the weight store. */
@NullMarked
package org.amaranthstream.standins.weights;

import org.jspecify.annotations.NullMarked;
