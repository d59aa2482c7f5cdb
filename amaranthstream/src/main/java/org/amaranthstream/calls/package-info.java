/** Requests of callers that are passed on to backend servers. */
package org.amaranthstream.calls;
