/**
 * Ordered backend servers: how many servers of a service to order, in which availability zone, and
 * of which kind. The decision is not connected to the platform yet.
 */
@org.jspecify.annotations.NullMarked
package org.amaranthstream.scaling;
