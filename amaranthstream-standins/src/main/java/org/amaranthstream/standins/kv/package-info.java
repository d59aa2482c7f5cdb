/** Stand-in for the platform's key-value service and its list of VMs. */
@NullMarked
package org.amaranthstream.standins.kv;

import org.jspecify.annotations.NullMarked;
