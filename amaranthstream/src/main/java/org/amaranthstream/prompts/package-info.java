/**
 * Prompts whose beginnings are shared by several requests, the view of which engine still holds
 * them, and the weighing of the time that this saves against the wait at the engine.
 */
package org.amaranthstream.prompts;
