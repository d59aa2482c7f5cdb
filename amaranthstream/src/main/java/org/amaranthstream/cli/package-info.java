/** The command line: one class for each command. */
package org.amaranthstream.cli;
