/** Directory of the backend servers that register in the platform's store, and their load. */
package org.amaranthstream.servers;
