/** Stand-in for a plain service, and the scorer. */
@NullMarked
package org.amaranthstream.standins.service;

import org.jspecify.annotations.NullMarked;
