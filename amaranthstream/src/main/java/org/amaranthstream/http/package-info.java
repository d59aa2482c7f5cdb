/** Identification of the responses that arrive on reused HTTP connections. */
package org.amaranthstream.http;
