/**
 * Weight versions: which is the newest of each model, and the orders that bring the model engines
 * of the own availability zone to it.
 */
@org.jspecify.annotations.NullMarked
package org.amaranthstream.weights;
