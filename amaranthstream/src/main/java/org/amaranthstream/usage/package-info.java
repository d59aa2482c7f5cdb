/**
 * Reports of use: counts of the requests that backend servers began, by workspace and by window of
 * true time, summed over all daemons and reported once for each window.
 */
@org.jspecify.annotations.NullMarked
package org.amaranthstream.usage;
