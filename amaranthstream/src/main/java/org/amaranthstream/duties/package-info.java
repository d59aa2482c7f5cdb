/** Calls to the platform's API, which one daemon at a time makes. */
@org.jspecify.annotations.NullMarked
package org.amaranthstream.duties;
