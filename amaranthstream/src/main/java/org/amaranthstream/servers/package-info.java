/**
 * The backend servers that register themselves in the platform's store, and how loaded they are.
 */
package org.amaranthstream.servers;
