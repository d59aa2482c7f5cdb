/** Clients of the platform's services: the key-value service, the store and the VM list. */
package org.amaranthstream.platform;
