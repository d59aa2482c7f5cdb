/**
 * Which service a request goes to, and what may be done with it, by the operators' configuration.
 */
package org.amaranthstream.routing;
