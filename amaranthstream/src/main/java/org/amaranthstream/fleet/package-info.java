/**
 * Registration of the daemons in the platform's store, leader leases, and the links between
 * daemons.
 */
package org.amaranthstream.fleet;
