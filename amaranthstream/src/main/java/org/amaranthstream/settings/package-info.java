/** The settings of one process, read from YAML and checked as a whole before anything starts. */
package org.amaranthstream.settings;
