/** Operators' configuration of the routes, services and limits of requests. */
package org.amaranthstream.routing;
