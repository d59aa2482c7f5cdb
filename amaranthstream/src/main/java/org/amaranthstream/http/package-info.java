/** Framing and identification of the responses that arrive on HTTP connections. */
package org.amaranthstream.http;
