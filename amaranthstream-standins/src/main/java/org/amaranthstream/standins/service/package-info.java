/** Stand-ins for a plain service and for a scorer. */
@NullMarked
package org.amaranthstream.standins.service;

import org.jspecify.annotations.NullMarked;
