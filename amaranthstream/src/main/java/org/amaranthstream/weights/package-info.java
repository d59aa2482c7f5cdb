/**
 * Weight versions: the newest announced version of each model, and the orders that make the model
 * engines load it.
 */
@org.jspecify.annotations.NullMarked
package org.amaranthstream.weights;
