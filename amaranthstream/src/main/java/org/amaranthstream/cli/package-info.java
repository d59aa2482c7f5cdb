/** The command-line interface, with one class per command. */
package org.amaranthstream.cli;
