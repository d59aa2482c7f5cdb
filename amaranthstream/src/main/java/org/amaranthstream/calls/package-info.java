/** Forwarding of callers' requests to backend servers. */
package org.amaranthstream.calls;
