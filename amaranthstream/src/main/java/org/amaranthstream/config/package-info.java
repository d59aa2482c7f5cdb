/** The operators' configuration: its YAML form, storage, distribution and versioned updates. */
package org.amaranthstream.config;
