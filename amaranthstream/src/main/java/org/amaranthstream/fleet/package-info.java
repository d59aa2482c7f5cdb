/** The daemons that are alive, by the platform's store, and the duties that one of them holds. */
package org.amaranthstream.fleet;
