/** The platform's key-value service and VM list, and the client of their HTTP protocols. */
package org.amaranthstream.platform;
