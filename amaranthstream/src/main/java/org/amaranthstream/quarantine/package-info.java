/** Quarantine of content that was in flight when backend servers crashed. */
package org.amaranthstream.quarantine;
