/** Leases by which the daemons share the slots of backend servers. */
package org.amaranthstream.slots;
