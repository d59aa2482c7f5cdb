/** Settings of one process, read from YAML and validated as a whole before anything starts. */
package org.amaranthstream.settings;
